package mallowstall.core.cluster;

import java.util.function.Consumer;
import mallowstall.core.model.StartBatch;

/** Passes each batch of starts on once, in the order of the numbers that its sender assigned. */
public final class StartBatchReceiver {
  private final ClusterView view;
  private final Consumer<StartBatch> handler;

  /** {@code handler} receives all batches but repeated ones and those of former connections. */
  public StartBatchReceiver(ClusterView view, Consumer<StartBatch> handler) {
    this.view = view;
    this.handler = handler;
  }

  /** Handles a batch of starts from a controller, which may be this one. */
  public void receive(StartBatch startBatch) {
    if (view.peer(startBatch.node()).acceptStarts(startBatch)) {
      handler.accept(startBatch);
    }
  }
}
