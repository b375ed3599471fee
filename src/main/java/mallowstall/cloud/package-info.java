/**
 * Client of the cloud: machine types, scale-out, scale-in and the inventory. Field names stand in
 * {@link mallowstall.cloud.CloudProtocol} alone.
 */
package mallowstall.cloud;
