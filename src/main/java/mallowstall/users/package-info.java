/**
 * The HTTP interface for users: submissions, queries and cancellations. Only {@link
 * mallowstall.users.UserProtocol} defines field names. Error messages are part of the protocol.
 */
package mallowstall.users;
