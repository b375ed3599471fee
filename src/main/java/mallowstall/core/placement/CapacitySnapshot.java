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

/** What a scheduling pass knows of capacity and of who waits for it, renewed at its begin. */
public final class CapacitySnapshot {
  /** Free processors below which a machine isn't considered. */
  private static final double FREE_CPUS_MIN = 0.01;

  private final ClusterView view;
  private final JobLeader jobLeader;
  private final JobRanking ranking;
  private final GuaranteedShares guaranteedShares;
  private final QueuedWork queuedWork;

  /** Renews the totals that ranking, guaranteed shares and queued work keep. */
  public CapacitySnapshot(
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

  /** Renews what the order of jobs follows. */
  void refreshTotals() {
    ranking.recomputeCapacity();
    guaranteedShares.recompute();
  }

  /** Machines in service with a recent status update and free capacity. */
  List<MachineView> availableMachines() {
    List<MachineView> machines = new ArrayList<>();
    for (MachineView machine : view.machines()) {
      if (machine.isSchedulable()
          && view.hasRecentUpdate(machine)
          && machine.freeCpus() > FREE_CPUS_MIN) {
        machines.add(machine);
      }
    }
    return machines;
  }

  /** Renews the reservations on machines, and then the work that waits. */
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

  /** Starts that no status update of their machine includes yet. */
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
