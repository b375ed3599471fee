package mallowstall.core.api;

import mallowstall.core.model.PeerMessage;

/** What takes connections to peers and their messages. To be called on the event loop. */
public interface PeerEvents {
  /** A new connection to a peer stands; numbers only grow within a process. */
  void peerConnected(String node, long connection);

  /** A peer has sent a message. */
  void handleMessage(PeerMessage message);
}
