package mallowstall.core.cluster;

import java.util.function.Consumer;
import mallowstall.core.model.StartBatch;

/** Passes each batch of starts on once: drops repeated ones and those of former connections. */
public final class StartBatchReceiver {
  private final ClusterView view;
  private final Consumer<StartBatch> handler;

  /** Wires this module to the ones that it uses; it does nothing before its first event. */
  public StartBatchReceiver(ClusterView view, Consumer<StartBatch> handler) {
    this.view = view;
    this.handler = handler;
  }

  /** A controller, perhaps this one, has sent starts. */
  public void receive(StartBatch startBatch) {
    PeerState peer = view.peer(startBatch.node());
    if (startBatch.incarnation() < peer.lastStartsIncarnation()) {
      return;
    }
    if (startBatch.incarnation() > peer.lastStartsIncarnation()) {
      peer.setLastStartsIncarnation(startBatch.incarnation());
      peer.setLastStartsConnection(0);
      peer.setLastStartsSequence(0);
    }
    // what an older connection still delivers was already answered as never arrived
    if (startBatch.connection() < peer.lastStartsConnection()) {
      return;
    }
    if (startBatch.connection() == peer.lastStartsConnection()
        && startBatch.sequence() <= peer.lastStartsSequence()) {
      return;
    }
    peer.setLastStartsConnection(startBatch.connection());
    peer.setLastStartsSequence(startBatch.sequence());
    handler.accept(startBatch);
  }
}
