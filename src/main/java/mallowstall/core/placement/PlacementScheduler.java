package mallowstall.core.placement;

import java.util.List;
import mallowstall.core.cluster.MachineTypeCatalog;
import mallowstall.core.cluster.MachineView;
import mallowstall.core.jobs.JobLeader;
import mallowstall.core.jobs.LedJob;
import mallowstall.core.kernel.EventClock;
import mallowstall.core.kv.StateStore;

/**
 * Runs scheduling passes. A pass places the pending tasks of this controller's jobs on any allowed
 * machine of the cluster view. The tasks of one job are alike and are placed together, so that the
 * cost of a pass depends on the number of jobs and machines, not of tasks (docs/design.md).
 */
public final class PlacementScheduler {
  /** Maximum number of starts sent in one scheduling pass. It bounds the work of a tick. */
  private static final int STARTS_PER_PASS_MAX = 120;

  private final EventClock clock;
  private final StateStore store;
  private final MachineTypeCatalog types;
  private final JobLeader jobLeader;
  private final CapacityRefresher capacityRefresher;
  private final PendingJobs pendingJobs;
  private final PlacementBackoffs backoffs;
  private final ReplicaRelocation relocation;
  private final GroupPlacer groupPlacer;
  private final StarvationReservations starvationReservations;
  private final StartSender startSender;

  /** A pass places nothing before the state replica is synced and the machine types are known. */
  public PlacementScheduler(
      EventClock clock,
      StateStore store,
      MachineTypeCatalog types,
      JobLeader jobLeader,
      CapacityRefresher capacityRefresher,
      PendingJobs pendingJobs,
      PlacementBackoffs backoffs,
      ReplicaRelocation relocation,
      GroupPlacer groupPlacer,
      StarvationReservations starvationReservations,
      StartSender startSender) {
    this.clock = clock;
    this.store = store;
    this.types = types;
    this.jobLeader = jobLeader;
    this.capacityRefresher = capacityRefresher;
    this.pendingJobs = pendingJobs;
    this.backoffs = backoffs;
    this.relocation = relocation;
    this.groupPlacer = groupPlacer;
    this.starvationReservations = starvationReservations;
    this.startSender = startSender;
  }

  /**
   * Places pending tasks as far as capacity and quota allow, and sends their starts. Does nothing
   * without a valid session lease.
   */
  public void runSchedulingPass() {
    if (!store.isSessionValid() || !store.synced() || types.isEmpty()) {
      return;
    }
    long now = clock.now();
    boolean anyDue = pendingJobs.collect(now);
    boolean anyService = jobLeader.anyService();
    if (!anyDue && !anyService) {
      return;
    }
    capacityRefresher.refreshTotals();
    pendingJobs.sort();
    List<MachineView> machines = capacityRefresher.availableMachines();
    capacityRefresher.refreshReservations();
    if (anyService) {
      relocation.runPass(machines, now);
    }
    placeGroups(machines, now);
    backoffs.endPass(now);
    startSender.flush();
  }

  private void placeGroups(List<MachineView> machines, long now) {
    int remainingStarts = STARTS_PER_PASS_MAX;
    boolean reserved = false;
    for (List<LedJob> group : pendingJobs.groups()) {
      if (remainingStarts <= 0) {
        return;
      }
      if (!reserved && !pendingJobs.isStarving(group)) {
        starvationReservations.reserve(machines);
        reserved = true;
      }
      remainingStarts -= groupPlacer.place(group, machines, remainingStarts, now);
    }
  }
}
