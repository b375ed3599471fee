package mallowstall.core.cluster;

import java.util.function.Consumer;
import mallowstall.core.model.StartBatch;

/** Passes each batch of starts on once, in the order of a sender's numbers. */
public final class StartBatchReceiver {
  private final ClusterView view;
  private final Consumer<StartBatch> handler;

  /** {@code handler} receives each batch that is neither repeated nor of a former connection. */
  public StartBatchReceiver(ClusterView view, Consumer<StartBatch> handler) {
    this.view = view;
    this.handler = handler;
  }

  /** A controller, perhaps this one, has sent starts. */
  public void receive(StartBatch startBatch) {
    if (view.peer(startBatch.node()).acceptStarts(startBatch)) {
      handler.accept(startBatch);
    }
  }
}
