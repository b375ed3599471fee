/**
 * The HTTP interface for users: submissions, queries and cancellations. Field names stand in {@link
 * mallowstall.users.UserProtocol} alone; error messages are part of the protocol.
 */
package mallowstall.users;
