package mallowstall.core.cluster;

import java.util.function.Consumer;
import java.util.function.LongUnaryOperator;
import mallowstall.core.kernel.PlacementTrigger;
import mallowstall.core.kv.StateStore;
import mallowstall.core.model.StatusUpdate;

/** Takes in status updates: cancellations first, then machines, then what jobs learn from them. */
public final class StatusUpdateReceiver {
  private final StateStore store;
  private final ClusterView view;
  private final CancellationExchange cancellations;
  private final LongUnaryOperator publishedAt;
  private final Consumer<StatusUpdate> jobTracker;
  private final PlacementTrigger placementTrigger;

  /** {@code publishedAt} tells when this controller made the update of a serial number. */
  public StatusUpdateReceiver(
      StateStore store,
      ClusterView view,
      CancellationExchange cancellations,
      LongUnaryOperator publishedAt,
      Consumer<StatusUpdate> jobs,
      PlacementTrigger placementTrigger) {
    this.store = store;
    this.view = view;
    this.cancellations = cancellations;
    this.publishedAt = publishedAt;
    this.jobTracker = jobs;
    this.placementTrigger = placementTrigger;
  }

  /** A controller, perhaps this one, has published a status update. */
  public void receive(StatusUpdate update) {
    receiveCancellations(update);
    if (!view.applyStatusUpdate(update)) {
      return;
    }
    jobTracker.accept(update);
    if (update.machines().isEmpty() && update.rejections().isEmpty()) {
      return;
    }
    placementTrigger.capacityReported(
        view.lastUpdateChangedMachines() || !update.rejections().isEmpty());
  }

  /** Cancellations count whether the update's machines can be taken in or not. */
  private void receiveCancellations(StatusUpdate update) {
    boolean all = cancellations.applyPeerCancellations(update.cancelledJobs());
    if (!all || update.acknowledgedIncarnation() != store.incarnation()) {
      return;
    }
    view.peer(update.node())
        .recordCancellationsKnown(publishedAt.applyAsLong(update.acknowledgedSerial()));
  }
}
