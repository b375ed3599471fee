package mallowstall.core.autoscaling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import mallowstall.Constants;
import mallowstall.core.autoscaling.ScaleOut.PendingMachine;
import mallowstall.core.cluster.ClusterView;
import mallowstall.core.cluster.MachineTypeCatalog;
import mallowstall.core.cluster.MachineView;
import mallowstall.core.cluster.PeerMessenger;
import mallowstall.core.kernel.Condition;
import mallowstall.core.kernel.EventClock;
import mallowstall.core.kernel.PutOperation;
import mallowstall.core.kernel.ResultCode;
import mallowstall.core.kernel.RetryDelay;
import mallowstall.core.kernel.Transaction;
import mallowstall.core.kv.RequestPriority;
import mallowstall.core.kv.StateKeys;
import mallowstall.core.kv.StateStore;
import mallowstall.core.kv.StoredValue;
import mallowstall.core.model.AutoscalerLeaderEntry;
import mallowstall.core.model.CoreSettings;
import mallowstall.core.model.JobEntry;
import mallowstall.core.model.ListedMachine;
import mallowstall.core.model.MachineEntry;
import mallowstall.core.model.MachineType;
import mallowstall.core.model.TaskState;
import mallowstall.core.model.TaskStatus;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Plans which machines are rented and returned while this controller has the cloud duty; decides by
 * class of machine type, not by task.
 */
public final class Autoscaler {
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.fleet");

  /** What one plan finds of the machines. Mutable. */
  private static final class FleetState {
    /** Machines that serve or will, by type. */
    final Map<String, Integer> countByType = new HashMap<>();

    /** Machines that have a record. */
    final Set<String> registered = new HashSet<>();

    /** Machines that serve. */
    final List<MachineView> available = new ArrayList<>();

    /** Machines to be returned. */
    final List<String> toReturn = new ArrayList<>();

    /** Machines of dead owners that have turned to nobody. */
    final List<String> unmanaged = new ArrayList<>();

    /** Silent machines with replicas. */
    final List<String> unresponsiveHosts = new ArrayList<>();

    int unresponsive;

    void addMachine(String type) {
      countByType.merge(type, 1, Integer::sum);
    }
  }

  private final EventClock clock;
  private final CoreSettings settings;
  private final ClusterView view;
  private final MachineTypeCatalog types;
  private final PeerMessenger messenger;
  private final StateStore store;
  private final MachineDemand demand;
  private final CloudInventory cloudInventory;
  private final ScaleOut scaleOut;
  private final ScaleIn scaleIn;
  private final Map<String, Long> unaccountedSinceMs = new HashMap<>();

  /** Faulty machines that have replicas still to be moved. */
  private final Map<String, Long> replaceSinceMs = new HashMap<>();

  private final RetryDelay leadershipRetry = new RetryDelay();
  private boolean leadershipRequestInFlight;
  private long nextPlanMs;
  private long nextDemandMs;

  /** Wires this module to the ones that it uses; it does nothing before its first event. */
  public Autoscaler(
      EventClock clock,
      CoreSettings settings,
      StateStore store,
      ClusterView view,
      MachineTypeCatalog types,
      MachineDemand demand,
      CloudInventory cloudInventory,
      ScaleOut scaleOut,
      ScaleIn scaleIn,
      PeerMessenger messenger) {
    this.clock = clock;
    this.settings = settings;
    this.view = view;
    this.types = types;
    this.messenger = messenger;
    this.store = store;
    this.demand = demand;
    this.cloudInventory = cloudInventory;
    this.scaleOut = scaleOut;
    this.scaleIn = scaleIn;
  }

  /** A scale-out request has been answered: what else is missing is asked for soon. */
  public void planSoon() {
    nextPlanMs = Math.min(nextPlanMs, clock.now() + Constants.AUTOSCALER_FOLLOW_UP_MS);
  }

  boolean isLeader() {
    StoredValue stored = store.entry(StateKeys.AUTOSCALER_LEADER_KEY);
    if (stored == null || !store.isSessionValid()) {
      return false;
    }
    AutoscalerLeaderEntry leaderEntry = (AutoscalerLeaderEntry) stored.value();
    return leaderEntry.node().equals(settings.node())
        && leaderEntry.incarnation() == store.incarnation();
  }

  /** Renews the leadership of scaling and plans when due; called on every tick of the core. */
  public void tick() {
    long now = clock.now();
    if (!store.synced() || types.isEmpty()) {
      return;
    }
    if (now >= nextDemandMs) {
      nextDemandMs = now + Constants.AUTOSCALER_INTERVAL_MS / 2;
      demand.recompute(now);
    }
    if (!store.isSessionValid()) {
      return;
    }
    if (store.entry(StateKeys.AUTOSCALER_LEADER_KEY) == null
        && !leadershipRequestInFlight
        && leadershipRetry.isDue(now)) {
      requestLeadership();
    }
    if (!isLeader()) {
      return;
    }
    cloudInventory.tick(now);
    if (now >= nextPlanMs) {
      nextPlanMs = now + Constants.AUTOSCALER_INTERVAL_MS;
      plan(now);
    }
    scaleIn.tick(now);
  }

  private void requestLeadership() {
    leadershipRequestInFlight = true;
    boolean accepted =
        store.transact(
            // behind the adoptions of a fleet it waited for a minute, and jobs for its returns
            RequestPriority.MACHINE,
            new Transaction(
                List.of(new Condition(StateKeys.AUTOSCALER_LEADER_KEY, 0)),
                List.of(
                    new PutOperation(
                        StateKeys.AUTOSCALER_LEADER_KEY,
                        new AutoscalerLeaderEntry(settings.node(), store.incarnation()),
                        store.leaseId())),
                List.of()),
            reply -> {
              leadershipRequestInFlight = false;
              leadershipRetry.recordResult(clock.now(), reply.code());
              if (reply.code() == ResultCode.OK) {
                LOG.info("cloud duty taken");
              }
            });
    if (!accepted) {
      leadershipRequestInFlight = false;
    }
  }

  private void plan(long now) {
    FleetState fleetState = new FleetState();
    for (Map.Entry<String, StoredValue> entry :
        store.entriesUnder(StateKeys.MACHINE_PREFIX).entrySet()) {
      String id = StateKeys.machineOf(entry.getKey());
      countRegistered(id, (MachineEntry) entry.getValue().value(), fleetState, now);
    }
    // Its owner is gone and it has turned to nobody: while it is unaccounted for, jobs taken over
    // wait, and a return is proof. Many at once would rather mean that their arrival is what is
    // slow.
    if (isSmallShare(fleetState.unmanaged.size(), fleetState)) {
      fleetState.toReturn.addAll(fleetState.unmanaged);
    }
    // A silent machine's replicas can start elsewhere once its lease is over, or at once when it is
    // returned. Many at once are cut off rather than dead, and go on if the cut is short: all count
    // that are silent, since a cut's machines pass the longer time one by one.
    if (isSmallShare(fleetState.unresponsive, fleetState)) {
      fleetState.toReturn.addAll(fleetState.unresponsiveHosts);
    }
    unaccountedSinceMs.keySet().retainAll(fleetState.registered);
    replaceSinceMs.keySet().retainAll(fleetState.registered);
    scaleIn.expireReturned(now);
    if (LOG.isDebugEnabled()) {
      logUtilization(fleetState.available);
    }
    countListed(fleetState, now);
    countPending(fleetState, now);
    for (String type : types.names()) {
      planType(type, fleetState.countByType.getOrDefault(type, 0), fleetState.available, now);
    }
    List<String> toReturn = scaleIn.withoutReturned(fleetState.toReturn);
    if (!toReturn.isEmpty()) {
      scaleIn.returnMachines(toReturn, "lost, failed or faulty");
    }
  }

  /** At most a quarter of all machines. */
  private static boolean isSmallShare(int machines, FleetState fleetState) {
    return machines * 4 <= fleetState.registered.size() + 4;
  }

  /** A machine that has a record, so that it has reported at least once. */
  private void countRegistered(String id, MachineEntry entry, FleetState fleetState, long now) {
    fleetState.registered.add(id);
    scaleOut.pendingMachines().remove(id);
    MachineView machine = view.machine(id);
    boolean leaderLive = store.isLive(entry.node(), entry.incarnation());
    if (view.isFullyReported(id, entry)
        && leaderLive
        && now - view.lastUpdateMs(machine) < 2 * Constants.STATUS_UPDATE_STALE_MS) {
      unaccountedSinceMs.remove(id);
      countAccounted(machine, fleetState, now);
      return;
    }
    boolean leaderUnresponsive =
        leaderLive
            && !entry.node().equals(settings.node())
            && now - view.peer(entry.node()).lastUpdateMs() > Constants.STATUS_UPDATE_STALE_MS;
    if (leaderUnresponsive) {
      fleetState.addMachine(entry.type());
      return;
    }
    long unaccountedMs = now - unaccountedSinceMs.computeIfAbsent(id, k -> now);
    if (unaccountedMs > settings.workerLeaseMs() + 2 * Constants.UNRESPONSIVE_SCALE_IN_MARGIN_MS) {
      fleetState.toReturn.add(id);
    } else if (!leaderLive && unaccountedMs > failoverGraceMs()) {
      fleetState.unmanaged.add(id);
    } else {
      fleetState.addMachine(entry.type());
    }
  }

  /** A machine whose owner lives and tells of it. */
  private void countAccounted(MachineView machine, FleetState fleetState, long now) {
    if (machine.status().unresponsive()) {
      long unresponsiveMs = machine.idleMs(now);
      if (isReclaimedByCloud(machine, now)
          || unresponsiveMs
              > settings.workerLeaseMs() + Constants.UNRESPONSIVE_SCALE_IN_MARGIN_MS) {
        fleetState.toReturn.add(machine.id());
        return;
      }
      fleetState.unresponsive++;
      if (unresponsiveMs > unresponsiveHostMs() && view.hostsReplicas(machine)) {
        fleetState.unresponsiveHosts.add(machine.id());
      }
    } else if (machine.status().needsReplacement()) {
      if (!view.hostsReplicas(machine) || isReplacementOverdue(machine.id(), now)) {
        fleetState.toReturn.add(machine.id());
      }
    } else if (machine.status().interruptionNoticeS() < 0) {
      fleetState.addMachine(machine.status().type());
      fleetState.available.add(machine);
    }
  }

  /** How long a machine whose owner is gone may take to turn to another. */
  private long failoverGraceMs() {
    return Constants.WORKER_REREGISTRATION_MS + settings.heartbeatIntervalMs() * 3 / 2;
  }

  /** Machines that the cloud lists and that nobody has heard of are coming, or never will. */
  private void countListed(FleetState fleetState, long now) {
    for (ListedMachine listed : cloudInventory.machines()) {
      String id = listed.id();
      if (fleetState.registered.contains(id)
          || scaleIn.isReturnInFlight(id)
          || scaleIn.wasReturnedRecently(id, now)) {
        continue;
      }
      MachineType type = types.find(listed.type());
      double ageS = listed.ageS() + (now - cloudInventory.readAtMs()) / 1000.0;
      if (listed.state().equals("failed") || type != null && ageS > bootTimeoutS(type)) {
        fleetState.toReturn.add(id);
      } else {
        long requestedAtMs = now - (long) (ageS * 1000);
        scaleOut
            .pendingMachines()
            .putIfAbsent(
                id, new PendingMachine(listed.type(), listed.zone(), listed.spot(), requestedAtMs));
      }
    }
  }

  /** Machines that are coming count unless they take too long or the cloud doesn't list them. */
  private void countPending(FleetState fleetState, long now) {
    long listLagMs = settings.inventoryLagMs();
    for (Map.Entry<String, PendingMachine> entry :
        new ArrayList<>(scaleOut.pendingMachines().entrySet())) {
      String id = entry.getKey();
      PendingMachine pending = entry.getValue();
      MachineType type = types.find(pending.type());
      double timeoutS = type == null ? Constants.BOOT_TIMEOUT_UNKNOWN_TYPE_S : bootTimeoutS(type);
      boolean unlisted =
          now - pending.requestedAtMs() > 4 * listLagMs
              && cloudInventory.readAtMs() > pending.requestedAtMs() + 3 * listLagMs
              && !cloudInventory.contains(id);
      if (now - pending.requestedAtMs() > timeoutS * 1000 || unlisted) {
        scaleOut.pendingMachines().remove(id);
        fleetState.toReturn.add(id);
      } else {
        fleetState.addMachine(pending.type());
      }
    }
  }

  /**
   * Silent at the end of its notice: the cloud has it back, and a return proves at once what its
   * lease would prove only later.
   */
  private static boolean isReclaimedByCloud(MachineView machine, long now) {
    double remainingS =
        machine.status().interruptionNoticeS() - (now - machine.updatedAtMs()) / 1000.0;
    return machine.status().interruptionNoticeS() >= 0
        && remainingS < Constants.INTERRUPTION_IMMINENT_S;
  }

  /** Some reports later than where a machine counts as silent. */
  private long unresponsiveHostMs() {
    return Constants.UNRESPONSIVE_REPLICA_HOST_MARGIN_MS + settings.heartbeatIntervalMs();
  }

  /** Whether a faulty machine's replicas have had their time to be moved. */
  private boolean isReplacementOverdue(String id, long now) {
    return now - replaceSinceMs.computeIfAbsent(id, k -> now) > Constants.RELOCATION_RESERVATION_MS;
  }

  /** After so many seconds a machine that isn't up is taken for one that never boots. */
  private static double bootTimeoutS(MachineType type) {
    return Math.max(Constants.BOOT_TIMEOUT_MIN_S, Constants.BOOT_TIMEOUT_FACTOR * type.bootS());
  }

  /** Where the rented processors go: the first thing to look at when jobs wait. */
  private void logUtilization(List<MachineView> available) {
    double runningCpus = 0;
    double fetchingCpus = 0;
    double reservedCpus = 0;
    double freeCpus = 0;
    for (MachineView machine : available) {
      freeCpus += machine.status().freeCpus();
      for (TaskStatus task : machine.status().tasks()) {
        JobEntry job = store.job(task.job());
        if (job == null || task.state() == TaskState.EXITED) {
          continue;
        }
        if (task.state() == null) {
          reservedCpus += job.spec().cpus();
        } else if (task.state() == TaskState.FETCHING) {
          fetchingCpus += job.spec().cpus();
        } else {
          runningCpus += job.spec().cpus();
        }
      }
    }
    LOG.debug(
        "use: {} machines up, cpus running {}, fetching {}, booked {}, free {}",
        available.size(),
        runningCpus,
        fetchingCpus,
        reservedCpus,
        freeCpus);
  }

  /** Rents what this type lacks, or returns what it doesn't need. */
  private void planType(String type, int current, List<MachineView> available, long now) {
    TypeDemand typeDemand = demand.of(type);
    if (scaleOut.canRequest(now)
        && scaleOut.scaleOutConstrained(type, typeDemand, available, now)) {
      return;
    }
    double neededMachines = typeDemand.machines;
    int target =
        (int)
            Math.ceil(
                Math.max(neededMachines * Constants.SCALE_OUT_FACTOR, typeDemand.averageMachines)
                    - Constants.SCALE_OUT_ROUNDING);
    if (target > current) {
      if (scaleOut.canRequest(now)) {
        scaleOut.scaleOut(type, target - current, target, typeDemand.spotAllowed, now);
      }
      return;
    }
    if (scaleOut.canRequest(now) && scaleOut.scaleOutForUnplaceable(type, available, now)) {
      return;
    }
    int keepTotal =
        (int)
            Math.ceil(
                Math.max(
                    neededMachines * Constants.RETENTION_FACTOR,
                    typeDemand.averageMachines * Constants.RETENTION_AVERAGE_FACTOR));
    // dear machines are kept for what there is to do more than for what there was
    double onDemandFloor =
        Math.max(
            typeDemand.averageUrgentMachines * Constants.RESERVE_FACTOR,
            typeDemand.averageMachines * Constants.ON_DEMAND_FLOOR_FRACTION);
    int keepOnDemand =
        Math.min(
            keepTotal,
            (int) Math.ceil(Math.max(neededMachines * Constants.RETENTION_FACTOR, onDemandFloor)));
    if (current > keepOnDemand) {
      scaleInIdle(type, current, keepTotal, keepOnDemand, available, now);
    }
  }

  /** Returns machines that are drained; drains idle ones down to what is to be kept. */
  private void scaleInIdle(
      String type,
      int current,
      int keepTotal,
      int keepOnDemand,
      List<MachineView> available,
      long now) {
    List<MachineView> idle = new ArrayList<>();
    List<String> drainedMachines = new ArrayList<>();
    for (MachineView machine : available) {
      if (!machine.status().type().equals(type)
          || !machine.status().tasks().isEmpty()
          || scaleIn.isReturnInFlight(machine.id())) {
        continue;
      }
      long idleTimeoutMs =
          machine.status().spot()
              ? Constants.SCALE_IN_IDLE_MS
              : Constants.SCALE_IN_IDLE_ON_DEMAND_MS;
      if (machine.status().draining()) {
        drainedMachines.add(machine.id());
      } else if (machine.idleMs(now) > idleTimeoutMs) {
        idle.add(machine);
      }
    }
    if (!drainedMachines.isEmpty()) {
      scaleIn.returnMachines(drainedMachines, "idle");
      return;
    }
    // the dear ones first, then those that have waited longest
    idle.sort(
        Comparator.comparing((MachineView machine) -> machine.status().spot())
            .thenComparing(machine -> -machine.idleMs(now)));
    int maxDrains = Math.max(1, current / Constants.DRAIN_BATCH_DIVISOR);
    int remaining = current;
    Map<String, List<String>> drainsByLeader = new HashMap<>();
    for (MachineView machine : idle) {
      if (current - remaining >= maxDrains
          || remaining <= (machine.status().spot() ? keepTotal : keepOnDemand)) {
        break;
      }
      remaining--;
      drainsByLeader.computeIfAbsent(machine.leader(), k -> new ArrayList<>()).add(machine.id());
    }
    drainsByLeader.forEach(messenger::sendDrain);
  }
}
