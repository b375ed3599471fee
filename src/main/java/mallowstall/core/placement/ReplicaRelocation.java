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
 * Relocates replicas from departing machines. A relocation selects a target, reserves capacity
 * there and stops the replica. The replica starts on the target as soon as its previous attempt is
 * proven to have ended.
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
  private final ReplicaEligibility eligibility;

  /** Creates a relocation that handles only the services that this controller leads. */
  public ReplicaRelocation(
      ClusterView view,
      PeerMessenger messenger,
      Policy.PolicyRegistry policies,
      JobLeader jobLeader,
      QuotaLedger quotaLedger,
      PolicyFacts policyFacts,
      StartSender startSender,
      ReplicaEligibility eligibility) {
    this.view = view;
    this.messenger = messenger;
    this.policies = policies;
    this.jobLeader = jobLeader;
    this.quotaLedger = quotaLedger;
    this.policyFacts = policyFacts;
    this.startSender = startSender;
    this.eligibility = eligibility;
  }

  /** Starts relocated replicas that have stopped, and begins the relocation of others. */
  void runPass(List<MachineView> machines, long now) {
    for (LedJob ledJob : jobLeader.jobs()) {
      if (!ledJob.spec().isService() || !ledJob.recovered() || ledJob.finished()) {
        continue;
      }
      for (int replica : ledJob.relocations().replicas()) {
        startRelocated(ledJob, replica);
      }
      if (!ledJob.writes().outcomeUnknown()) {
        relocateFromDeparting(ledJob, machines, now);
      }
    }
  }

  private void relocateFromDeparting(LedJob ledJob, List<MachineView> machines, long now) {
    for (ActiveAttempt active : new ArrayList<>(ledJob.activeAttempts().values())) {
      if (!active.observedOnMachine() || ledJob.relocations().inProgress(active.task())) {
        continue;
      }
      MachineView source = view.machine(active.machine());
      if (source == null || !source.isDeparting()) {
        continue;
      }
      MachineView target = selectTarget(ledJob, active, machines, now);
      if (target != null) {
        relocate(ledJob, active, source, target, now);
      }
    }
  }

  private void relocate(
      LedJob ledJob, ActiveAttempt active, MachineView source, MachineView target, long now) {
    LOG.info(
        "replica relocation started job={} task={} attempt={} machine={} target={}",
        ledJob.id(),
        active.task(),
        active.attempt(),
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

  /** Starts a replica on its target once the replica's previous attempt is proven to have ended. */
  private void startRelocated(LedJob ledJob, int replica) {
    if (ledJob.activeAttempts().containsKey(replica)
        || ledJob.writes().quotaInFlight()
        || ledJob.writes().outcomeUnknown()) {
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

  /**
   * Returns the machine with the lowest cost among those that may run the replica, or null if there
   * is none. The cost is the image fetch time in seconds plus the number of the job's replicas on
   * the machine.
   */
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
      if (ledJob.isOnCooldown(machine.id(), now) || !mayRunOn(ledJob, moving.task(), machine)) {
        continue;
      }
      // the fetch time is infinite if the policy rejects the machine
      double cost =
          policyFacts.acceptedFetchS(policy, machine, ledJob, now)
              + replicasByMachine.getOrDefault(machine.id(), 0);
      if (cost < bestCost) {
        best = machine;
        bestCost = cost;
      }
    }
    return best;
  }

  /**
   * Returns whether the machine has room for the replica and is in a zone that the job allows,
   * given the zones of the job's other replicas.
   */
  private boolean mayRunOn(LedJob ledJob, int replica, MachineView machine) {
    JobSpec spec = ledJob.spec();
    if (!machine.allows(spec)
        || machine.fittingTasks(spec) <= 0
        || !eligibility.canServe(ledJob, replica, machine.id())) {
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
    return replicasInZone <= spec.maxTasksPerZone();
  }
}
