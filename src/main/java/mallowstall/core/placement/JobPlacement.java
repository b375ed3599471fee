package mallowstall.core.placement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import mallowstall.core.cluster.MachineView;
import mallowstall.core.jobs.ActiveAttempt;
import mallowstall.core.jobs.LedJob;
import mallowstall.core.model.JobSpec;

/**
 * The placement of one job in a scheduling pass: the tasks still to be placed, the quota left for
 * them, and the zones and machines of the job's tasks. Mutable; used for one pass only.
 */
final class JobPlacement {
  private final LedJob ledJob;
  private final JobSpec spec;
  private final Policy policy;
  private final ReplicaEligibility eligibility;
  private final boolean quotaLimited;

  /** Maximum number of tasks without quota for which this pass may still reserve capacity. */
  private int obtainableQuotaTasks;

  private final int maxTasksPerZone;
  private final Map<String, Integer> tasksByZone = new HashMap<>();

  /**
   * Number of a service's replicas on each machine, by which they are spread evenly. Empty for a
   * batch job.
   */
  private final Map<String, Integer> replicasByMachine = new HashMap<>();

  /**
   * The zone of all tasks if the job must run in one zone, else the zone of any one task. Null if
   * no zone is chosen yet.
   */
  private String chosenZone;

  private int pendingTasks;
  private int freeQuotaTasks;
  private int startedTasks;

  /** Number of pairs of a machine with free capacity and a block that rejected it. */
  private int rejectedCandidates;

  /**
   * Number of tasks that fit on a machine but weren't started, because of the team's quota or the
   * limit of starts.
   */
  private int quotaBlockedTasks;

  /**
   * Creates the placement at the beginning of a pass, before any start.
   *
   * @param pendingTasks number of tasks to be placed in this pass
   * @param quota the quota that the job may use
   * @param machines the machines with free capacity
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

  /** Returns the job that is placed. */
  LedJob ledJob() {
    return ledJob;
  }

  /** Returns the job's specification, as its user submitted it. */
  JobSpec spec() {
    return spec;
  }

  /** Returns the policy of the job's class. */
  Policy policy() {
    return policy;
  }

  /**
   * Returns the zone of all tasks if the job must run in one zone, else the zone of any one task;
   * null if no zone is chosen yet.
   */
  String chosenZone() {
    return chosenZone;
  }

  /** Returns the number of tasks still to be placed in this pass. */
  int pendingTasks() {
    return pendingTasks;
  }

  /** Returns the number of further tasks that the job's quota reservation covers. */
  int freeQuotaTasks() {
    return freeQuotaTasks;
  }

  /** Returns the number of tasks started in this pass without preemption. */
  int startedTasks() {
    return startedTasks;
  }

  /**
   * Returns the number of tasks that fit on a machine in this pass but weren't started, because of
   * the team's quota or the limit of starts.
   */
  int quotaBlockedTasks() {
    return quotaBlockedTasks;
  }

  /** Returns whether the job's team has a quota and tasks that fit on machines weren't started. */
  boolean isQuotaBlocked() {
    return quotaLimited && quotaBlockedTasks > 0;
  }

  /**
   * Returns the number of pairs of a machine with free capacity and a block that rejected it, in
   * this pass.
   */
  int rejectedCandidates() {
    return rejectedCandidates;
  }

  /** Returns false if the job must run in one zone and the machine is in another. */
  boolean allowsZoneOf(MachineView machine) {
    return !spec.singleZone() || machine.status().zone().equals(chosenZone);
  }

  /** Returns the largest number of the service's replicas on one machine. */
  int maxReplicasPerMachine() {
    int max = 0;
    for (int replicas : replicasByMachine.values()) {
      max = Math.max(max, replicas);
    }
    return max;
  }

  /** Returns how many pending tasks the machine can serve, regardless of its free capacity. */
  int servableTasks(MachineView machine) {
    return eligibility.servableTasks(ledJob, pendingTasks, machine.id());
  }

  /** Removes and returns the next pending task that the machine can serve; -1 if there is none. */
  int pollTask(MachineView machine) {
    return eligibility.pollTask(ledJob, machine.id());
  }

  /** Returns how many more tasks of the job may be placed in the zone. */
  int remainingInZone(String zone) {
    return maxTasksPerZone - tasksByZone.getOrDefault(zone, 0);
  }

  /**
   * Returns how many pending tasks can be placed on the machine. A service has at most {@code
   * maxPerMachine} replicas there, including those already placed.
   */
  int fittingTasks(MachineView machine, int maxPerMachine) {
    int fitting = Math.min(servableTasks(machine), machine.fittingTasks(spec));
    if (spec.isService()) {
      fitting = Math.min(fitting, maxPerMachine - replicasByMachine.getOrDefault(machine.id(), 0));
    }
    return Math.min(fitting, remainingInZone(machine.status().zone()));
  }

  /** Records that a block has rejected a machine with free capacity. */
  void recordRejection() {
    rejectedCandidates++;
  }

  /** Records the start of a task on free capacity. */
  void recordStart() {
    startedTasks++;
    pendingTasks--;
    freeQuotaTasks--;
  }

  /** Records the start of a task in the zone, on capacity that was freed by preemption. */
  void recordPreemptingStart(String zone) {
    tasksByZone.merge(zone, 1, Integer::sum);
    chosenZone = zone;
    pendingTasks--;
    freeQuotaTasks--;
  }

  /**
   * Assigns tasks to the machine, of which the caller has started all but {@code notStarted}.
   * Reserves capacity for as many of the tasks not started as the team's quota may allow soon. The
   * capacity of the others stays free for the jobs that are placed next.
   */
  void assign(MachineView machine, int tasks, int notStarted) {
    quotaBlockedTasks += notStarted;
    pendingTasks -= notStarted;
    int reserved = Math.min(notStarted, obtainableQuotaTasks);
    obtainableQuotaTasks -= reserved;
    machine.reserve(spec, reserved);
    tasksByZone.merge(machine.status().zone(), tasks, Integer::sum);
    if (spec.isService()) {
      replicasByMachine.merge(machine.id(), tasks, Integer::sum);
    }
  }
}
