package mallowstall.core.cluster;

import java.util.function.Consumer;
import mallowstall.core.kv.StateStore;
import mallowstall.core.model.StartBatch;

/**
 * Passes each batch of starts on once, in the order of the numbers that its sender assigned. A
 * batch that is meant for a former process of this controller is ignored, since that process may
 * have passed its starts on already, of which this process knows nothing.
 */
public final class StartBatchReceiver {
  private final StateStore store;
  private final ClusterView view;
  private final Consumer<StartBatch> handler;

  /** {@code handler} receives all batches but repeated ones and those of former connections. */
  public StartBatchReceiver(StateStore store, ClusterView view, Consumer<StartBatch> handler) {
    this.store = store;
    this.view = view;
    this.handler = handler;
  }

  /** Handles a batch of starts from a controller, which may be this one. */
  public void receive(StartBatch startBatch) {
    if (!startBatch.isFor(store.incarnation())) {
      return;
    }
    if (view.peer(startBatch.node()).acceptStarts(startBatch)) {
      handler.accept(startBatch);
    }
  }
}
