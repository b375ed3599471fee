package mallowstall.core;

import java.util.function.Consumer;
import java.util.function.LongUnaryOperator;
import mallowstall.core.Model.Roster;

/** Takes in status updates: cancellations first, then machines, then what jobs learn from them. */
final class StatusUpdateReceiver {
  private final Store store;
  private final View view;
  private final Cancellations cancellations;
  private final LongUnaryOperator publishedAt;
  private final Consumer<Roster> jobs;
  private final PlacementTrigger placementTrigger;

  /** {@code publishedAt} tells when this controller made the update of a serial number. */
  StatusUpdateReceiver(
      Store store,
      View view,
      Cancellations cancellations,
      LongUnaryOperator publishedAt,
      Consumer<Roster> jobs,
      PlacementTrigger placementTrigger) {
    this.store = store;
    this.view = view;
    this.cancellations = cancellations;
    this.publishedAt = publishedAt;
    this.jobs = jobs;
    this.placementTrigger = placementTrigger;
  }

  /** A controller, perhaps this one, has published a status update. */
  void receive(Roster update) {
    receiveCancellations(update);
    if (!view.roster(update)) {
      return;
    }
    jobs.accept(update);
    if (update.machines().isEmpty() && update.refusals().isEmpty()) {
      return;
    }
    placementTrigger.capacityReported(
        view.lastRosterChangedMachines() || !update.refusals().isEmpty());
  }

  /** Cancellations count whether the update's machines can be taken in or not. */
  private void receiveCancellations(Roster update) {
    boolean all = cancellations.heard(update.cancelled());
    if (!all || update.heardIncarnation() != store.incarnation()) {
      return;
    }
    View.Peer peer = view.peer(update.node());
    peer.cancelsKnownAt =
        Math.max(peer.cancelsKnownAt, publishedAt.applyAsLong(update.heardSerial()));
  }
}
