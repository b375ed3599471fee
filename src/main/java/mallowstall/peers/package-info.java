/**
 * Connections between controllers and the binary codec of their messages, whose schema is {@code
 * peers.avsc}.
 */
package mallowstall.peers;
