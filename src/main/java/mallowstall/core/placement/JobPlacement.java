package mallowstall.core.placement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import mallowstall.core.cluster.MachineView;
import mallowstall.core.jobs.ActiveAttempt;
import mallowstall.core.jobs.LedJob;
import mallowstall.core.model.JobSpec;

/**
 * One job's placement in a scheduling pass: what is still to be placed, what its quota allows and
 * where its tasks are. Mutable; lives as long as the pass.
 */
final class JobPlacement {
  private final LedJob ledJob;
  private final JobSpec spec;
  private final Policy policy;
  private final ReplicaEligibility eligibility;
  private final boolean quotaLimited;

  /** Tasks without quota for which capacity may still be kept in this pass. */
  private int obtainableQuotaTasks;

  private final int maxTasksPerZone;
  private final Map<String, Integer> tasksByZone = new HashMap<>();

  /** Replicas of a service on each machine, which are spread as evenly as can be. */
  private final Map<String, Integer> replicasByMachine = new HashMap<>();

  /** The only zone of a job that must be in one; for others that of some task. */
  private String chosenZone;

  private int pendingTasks;
  private int freeQuotaTasks;
  private int startedTasks;

  /** Pairs of a machine with free capacity and a block that rejected it. */
  private int rejectedCandidates;

  /** Tasks that would have been started if their team's quota allowed it. */
  private int quotaBlockedTasks;

  /**
   * A placement that has started nothing yet.
   *
   * @param pendingTasks tasks to be placed in this pass
   * @param quota what the job's team quota allows
   * @param machines machines with free capacity
   */
  JobPlacement(
      LedJob ledJob,
      Policy policy,
      ReplicaEligibility eligibility,
      int pendingTasks,
      JobQuota quota,
      List<MachineView> machines) {
    this.ledJob = ledJob;
    this.policy = policy;
    this.eligibility = eligibility;
    this.pendingTasks = pendingTasks;
    freeQuotaTasks = quota.freeTasks();
    quotaLimited = quota.limited();
    obtainableQuotaTasks = quota.obtainableTasks();
    spec = ledJob.spec();
    for (ActiveAttempt active : ledJob.activeAttempts().values()) {
      chosenZone = active.zone();
      tasksByZone.merge(active.zone(), 1, Integer::sum);
      if (spec.isService()) {
        replicasByMachine.merge(active.machine(), 1, Integer::sum);
      }
    }
    if (spec.singleZone() && chosenZone == null) {
      chosenZone = zoneWithMostCapacity(machines);
    }
    maxTasksPerZone = spec.maxTasksPerZone();
  }

  private String zoneWithMostCapacity(List<MachineView> machines) {
    Map<String, Integer> slotsByZone = new HashMap<>();
    for (MachineView machine : machines) {
      if (machine.allows(spec) && servableTasks(machine) > 0) {
        slotsByZone.merge(machine.status().zone(), machine.fittingTasks(spec), Integer::sum);
      }
    }
    String best = null;
    for (Map.Entry<String, Integer> entry : slotsByZone.entrySet()) {
      if (best == null || entry.getValue() > slotsByZone.get(best)) {
        best = entry.getKey();
      }
    }
    return best;
  }

  /** The job that is placed. */
  LedJob ledJob() {
    return ledJob;
  }

  /** What its user asked for. */
  JobSpec spec() {
    return spec;
  }

  /** The policy of the job's class. */
  Policy policy() {
    return policy;
  }

  /** The zone of the job's tasks; null while none is chosen. */
  String chosenZone() {
    return chosenZone;
  }

  /** Tasks still to be placed in this pass. */
  int pendingTasks() {
    return pendingTasks;
  }

  /** Tasks that the job's quota reservation still covers. */
  int freeQuotaTasks() {
    return freeQuotaTasks;
  }

  /** Tasks started in this pass without preemption. */
  int startedTasks() {
    return startedTasks;
  }

  /** Tasks that had a machine and no quota in this pass. */
  int quotaBlockedTasks() {
    return quotaBlockedTasks;
  }

  /** Whether it found a machine for more tasks than its team's quota allows. */
  boolean isQuotaBlocked() {
    return quotaLimited && quotaBlockedTasks > 0;
  }

  /** Pairs of a machine with free capacity and a block that rejected it, in this pass. */
  int rejectedCandidates() {
    return rejectedCandidates;
  }

  /** Whether the machine is where a job that must be in one zone has to be. */
  boolean allowsZoneOf(MachineView machine) {
    return !spec.singleZone() || machine.status().zone().equals(chosenZone);
  }

  /** The most replicas of the job on one machine. */
  int maxReplicasPerMachine() {
    int max = 0;
    for (int replicas : replicasByMachine.values()) {
      max = Math.max(max, replicas);
    }
    return max;
  }

  /** How many of the pending tasks the machine can serve, however much of it is free. */
  int servableTasks(MachineView machine) {
    return eligibility.servableTasks(ledJob, pendingTasks, machine.id());
  }

  /** The next pending task that the machine can serve; -1: none. */
  int pollTask(MachineView machine) {
    return eligibility.pollTask(ledJob, machine.id());
  }

  /** How many more tasks may be in the zone. */
  int remainingInZone(String zone) {
    return maxTasksPerZone - tasksByZone.getOrDefault(zone, 0);
  }

  /** How many pending tasks may go on the machine, a service's at most so many in all. */
  int fittingTasks(MachineView machine, int maxPerMachine) {
    int fitting = Math.min(servableTasks(machine), machine.fittingTasks(spec));
    if (spec.isService()) {
      fitting = Math.min(fitting, maxPerMachine - replicasByMachine.getOrDefault(machine.id(), 0));
    }
    return Math.min(fitting, remainingInZone(machine.status().zone()));
  }

  /** A block has rejected a machine with free capacity. */
  void recordRejection() {
    rejectedCandidates++;
  }

  /** A task has been started where there was free capacity. */
  void recordStart() {
    startedTasks++;
    pendingTasks--;
    freeQuotaTasks--;
  }

  /** A task has been started in the place of others. */
  void recordPreemptingStart(String zone) {
    tasksByZone.merge(zone, 1, Integer::sum);
    chosenZone = zone;
    pendingTasks--;
    freeQuotaTasks--;
  }

  /**
   * The tasks have this place on the machine: some were started, and the capacity of the others is
   * kept as far as their team's quota may allow them soon. What a team at its quota can't use is
   * left to the jobs that come after.
   */
  void assign(MachineView machine, int tasks, int withoutQuota) {
    quotaBlockedTasks += withoutQuota;
    pendingTasks -= withoutQuota;
    int kept = Math.min(withoutQuota, obtainableQuotaTasks);
    obtainableQuotaTasks -= kept;
    machine.reserve(spec, kept);
    tasksByZone.merge(machine.status().zone(), tasks, Integer::sum);
    if (spec.isService()) {
      replicasByMachine.merge(machine.id(), tasks, Integer::sum);
    }
  }
}
