package mallowstall.core.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import mallowstall.core.cluster.ClusterView;
import mallowstall.core.cluster.MachineView;
import mallowstall.core.cluster.PeerMessenger;
import mallowstall.core.jobs.ActiveAttempt;
import mallowstall.core.jobs.JobLeader;
import mallowstall.core.jobs.LedJob;
import mallowstall.core.model.JobSpec;
import mallowstall.core.model.StopRequest;
import mallowstall.core.quota.QuotaLedger;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Moves replicas off machines that won't last: the place is chosen first and its room kept, then
 * the replica is stopped, and it starts there as soon as its end is proven.
 */
public final class ReplicaRelocation {
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.placement");

  private final ClusterView view;
  private final PeerMessenger messenger;
  private final Policy.PolicyRegistry policies;
  private final JobLeader jobLeader;
  private final QuotaLedger quotaLedger;
  private final PolicyFacts policyFacts;
  private final StartSender startSender;

  /** Wires this module to the ones that it uses; it does nothing before its first event. */
  public ReplicaRelocation(
      ClusterView view,
      PeerMessenger messenger,
      Policy.PolicyRegistry policies,
      JobLeader jobLeader,
      QuotaLedger quotaLedger,
      PolicyFacts policyFacts,
      StartSender startSender) {
    this.view = view;
    this.messenger = messenger;
    this.policies = policies;
    this.jobLeader = jobLeader;
    this.quotaLedger = quotaLedger;
    this.policyFacts = policyFacts;
    this.startSender = startSender;
  }

  /**
   * Moves replicas off machines that won't last: the place is chosen first and its room kept, then
   * the replica is stopped, and it starts there as soon as its end is proven.
   */
  void runPass(List<MachineView> machines, long now) {
    for (LedJob ledJob : jobLeader.jobs()) {
      if (!ledJob.spec().isService() || !ledJob.recovered() || ledJob.finished()) {
        continue;
      }
      for (int replica : ledJob.relocations().replicas()) {
        startRelocated(ledJob, replica, now);
      }
      if (ledJob.writeOutcomeUnknown()) {
        continue;
      }
      for (ActiveAttempt active : new ArrayList<>(ledJob.activeAttempts().values())) {
        if (!active.observedOnMachine() || ledJob.relocations().inProgress(active.task())) {
          continue;
        }
        MachineView source = view.machine(active.machine());
        if (source == null || !source.isDeparting()) {
          continue;
        }
        MachineView target = selectTarget(ledJob, active, machines, now);
        if (target == null) {
          continue;
        }
        LOG.info(
            "replica {}/{} moves from {} to {}",
            ledJob.id(),
            active.task(),
            active.machine(),
            target.id());
        ledJob.relocations().begin(active.task(), target.id(), now);
        target.reserve(ledJob.spec(), 1);
        messenger.sendStop(
            source.leader(),
            new StopRequest(
                active.machine(),
                ledJob.id(),
                active.task(),
                active.attempt(),
                ledJob.spec().checkpointSaveS() + 1));
      }
    }
  }

  /** Starts a replica where its move leads, once it is proven to run nowhere. */
  private void startRelocated(LedJob ledJob, int replica, long now) {
    if (ledJob.activeAttempts().containsKey(replica)
        || ledJob.quotaWriteInFlight()
        || ledJob.writeOutcomeUnknown()) {
      return;
    }
    MachineView machine = view.machine(ledJob.relocations().target(replica));
    ledJob.relocations().end(replica);
    if (machine == null) {
      return;
    }
    machine.reserve(ledJob.spec(), -1);
    boolean quotaReserved =
        !quotaLedger.hasQuota(ledJob.spec())
            || ledJob.entry().quotaReservedTasks() > ledJob.activeAttempts().size();
    boolean available = machine.isSchedulable() && view.hasRecentUpdate(machine);
    if (quotaReserved && available && mayRunOn(ledJob, replica, machine)) {
      startSender.enqueue(ledJob, replica, machine, List.of());
    }
  }

  private MachineView selectTarget(
      LedJob ledJob, ActiveAttempt moving, List<MachineView> machines, long now) {
    Map<String, Integer> replicasByMachine = new HashMap<>();
    for (ActiveAttempt active : ledJob.activeAttempts().values()) {
      replicasByMachine.merge(active.machine(), 1, Integer::sum);
    }
    Policy policy = policies.forJobClass(ledJob.spec().jobClass());
    MachineView best = null;
    double bestCost = Double.MAX_VALUE;
    for (MachineView machine : machines) {
      if (ledJob.machineCooldownUntilMs().getOrDefault(machine.id(), 0L) > now
          || !mayRunOn(ledJob, moving.task(), machine)) {
        continue;
      }
      boolean accepted = policyFacts.accepts(policy, machine, ledJob, now);
      double cost =
          policyFacts.evaluate(machine, ledJob, now).fetchS
              + replicasByMachine.getOrDefault(machine.id(), 0);
      if (!accepted || cost >= bestCost) {
        continue;
      }
      best = machine;
      bestCost = cost;
    }
    return best;
  }

  /** Whether the replica may run there, given where the job's others are. */
  private boolean mayRunOn(LedJob ledJob, int replica, MachineView machine) {
    JobSpec spec = ledJob.spec();
    if (!machine.allows(spec) || machine.fittingTasks(spec) <= 0) {
      return false;
    }
    int replicasInZone = 1;
    for (ActiveAttempt active : ledJob.activeAttempts().values()) {
      if (active.task() == replica) {
        continue;
      }
      if (spec.singleZone() && !active.zone().equals(machine.status().zone())) {
        return false;
      }
      if (active.zone().equals(machine.status().zone())) {
        replicasInZone++;
      }
    }
    return !spec.spread() || replicasInZone <= (spec.tasks() + 1) / 2;
  }
}
