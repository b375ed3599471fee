/**
 * Connections between controllers and the binary codec of their messages. The schema of the
 * messages is {@code peers.avsc}.
 */
package mallowstall.peers;
