package mallowstall.core;

import java.util.function.Consumer;
import mallowstall.core.Model.Starts;

/** Passes each batch of starts on once: drops repeated ones and those of former connections. */
final class PeerStartReceiver {
  private final View view;
  private final Consumer<Starts> handler;

  PeerStartReceiver(View view, Consumer<Starts> handler) {
    this.view = view;
    this.handler = handler;
  }

  /** A controller, perhaps this one, has sent starts. */
  void receive(Starts starts) {
    View.Peer peer = view.peer(starts.node());
    if (starts.incarnation() < peer.receivedIncarnation) {
      return;
    }
    if (starts.incarnation() > peer.receivedIncarnation) {
      peer.receivedIncarnation = starts.incarnation();
      peer.receivedConnection = 0;
      peer.receivedSequence = 0;
    }
    // what an older connection still delivers was already answered as never arrived
    if (starts.connection() < peer.receivedConnection) {
      return;
    }
    if (starts.connection() == peer.receivedConnection && starts.seq() <= peer.receivedSequence) {
      return;
    }
    peer.receivedConnection = starts.connection();
    peer.receivedSequence = starts.seq();
    handler.accept(starts);
  }
}
