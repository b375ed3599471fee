package mallowstall.core.cluster;

import java.util.function.Consumer;
import java.util.function.LongUnaryOperator;
import mallowstall.core.kernel.PlacementTrigger;
import mallowstall.core.kv.StateStore;
import mallowstall.core.model.StatusUpdate;

/** Applies status updates: first their cancellations, then the machines, then the jobs. */
public final class StatusUpdateReceiver {
  private final StateStore store;
  private final ClusterView view;
  private final CancellationExchange cancellations;
  private final LongUnaryOperator composedAtMs;
  private final Consumer<StatusUpdate> jobTracker;
  private final PlacementTrigger placementTrigger;

  /**
   * Creates a receiver.
   *
   * @param composedAtMs returns the steady time in milliseconds at which this controller composed
   *     its own update with this serial number
   * @param jobTracker receives each update after its machines have been applied
   */
  public StatusUpdateReceiver(
      StateStore store,
      ClusterView view,
      CancellationExchange cancellations,
      LongUnaryOperator composedAtMs,
      Consumer<StatusUpdate> jobTracker,
      PlacementTrigger placementTrigger) {
    this.store = store;
    this.view = view;
    this.cancellations = cancellations;
    this.composedAtMs = composedAtMs;
    this.jobTracker = jobTracker;
    this.placementTrigger = placementTrigger;
  }

  /** Handles a status update from a controller, which may be this one. */
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

  /** Applies the cancellations of an update, whether or not its machines can be applied. */
  private void receiveCancellations(StatusUpdate update) {
    boolean allRecorded = cancellations.applyPeerCancellations(update.cancelledJobs());
    if (!allRecorded || update.acknowledgedIncarnation() != store.incarnation()) {
      return;
    }
    view.peer(update.node())
        .recordCancellationsKnown(composedAtMs.applyAsLong(update.acknowledgedSerial()));
  }
}
