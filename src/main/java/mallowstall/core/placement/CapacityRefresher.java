package mallowstall.core.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import mallowstall.core.cluster.ClusterView;
import mallowstall.core.cluster.MachineView;
import mallowstall.core.jobs.ActiveAttempt;
import mallowstall.core.jobs.JobLeader;
import mallowstall.core.jobs.LedJob;
import mallowstall.core.quota.GuaranteedShares;

/**
 * Refreshes, at the beginning of a scheduling pass, the data on capacity and on queued work that
 * the pass uses.
 */
public final class CapacityRefresher {
  private final ClusterView view;
  private final JobLeader jobLeader;
  private final JobRanking ranking;
  private final GuaranteedShares guaranteedShares;
  private final QueuedWork queuedWork;

  /** The ranking, the guaranteed shares and the queued work keep the refreshed totals. */
  public CapacityRefresher(
      ClusterView view,
      JobLeader jobLeader,
      JobRanking ranking,
      GuaranteedShares guaranteedShares,
      QueuedWork queuedWork) {
    this.view = view;
    this.jobLeader = jobLeader;
    this.ranking = ranking;
    this.guaranteedShares = guaranteedShares;
    this.queuedWork = queuedWork;
  }

  /** Recomputes the capacity of machine types and the guaranteed shares. */
  void refreshTotals() {
    ranking.recomputeCapacity();
    guaranteedShares.recompute();
  }

  /**
   * Returns the machines that accept starts, have free capacity and a leader that has recently sent
   * a status update.
   */
  List<MachineView> availableMachines() {
    List<MachineView> machines = new ArrayList<>();
    for (MachineView machine : view.machines()) {
      if (machine.isSchedulable()
          && view.hasRecentUpdate(machine)
          && machine.freeCpus() > MachineView.FREE_CPUS_MIN) {
        machines.add(machine);
      }
    }
    return machines;
  }

  /** Recomputes the reservations on machines, then the queued work. */
  void refreshReservations() {
    for (MachineView machine : view.machines()) {
      machine.clearReservations();
    }
    for (LedJob ledJob : jobLeader.jobs()) {
      reserveRelocations(ledJob);
      reserveUnconfirmedStarts(ledJob);
    }
    queuedWork.recompute();
  }

  private void reserveRelocations(LedJob ledJob) {
    for (Map.Entry<String, Integer> entry : ledJob.relocations().replicasByTarget().entrySet()) {
      MachineView target = view.machine(entry.getKey());
      if (target != null) {
        target.reserve(ledJob.spec(), entry.getValue());
      }
    }
  }

  /** Reserves capacity for starts that no status update of their machine lists yet. */
  private void reserveUnconfirmedStarts(LedJob ledJob) {
    for (ActiveAttempt active : ledJob.activeAttempts().values()) {
      if (active.observedOnMachine() || active.inLatestStatus()) {
        continue;
      }
      MachineView machine = view.machine(active.machine());
      if (machine != null) {
        machine.reserve(ledJob.spec(), 1);
      }
    }
  }
}
