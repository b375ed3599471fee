package mallowstall.core.api;

import mallowstall.core.model.PeerMessage;

/** Receives the connections and messages of peers. Must be called on the event loop. */
public interface PeerEvents {
  /**
   * Called when a new connection to a peer is established. Its number is larger than those of all
   * earlier connections of this process.
   */
  void peerConnected(String node, long connection);

  /** Handles a message that a peer has sent. */
  void handleMessage(PeerMessage message);
}
