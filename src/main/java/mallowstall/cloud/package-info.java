/**
 * Client of the cloud: machine types, scale-out, scale-in and the inventory. Only {@link
 * mallowstall.cloud.CloudProtocol} holds the field names that are sent or received.
 */
package mallowstall.cloud;
