package mallowstall.core;

import java.util.BitSet;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeMap;
import mallowstall.core.kv.JobBitmaps;
import mallowstall.core.kv.StateKeys;
import mallowstall.core.kv.StoredValue;
import mallowstall.core.model.ExitReason;
import mallowstall.core.model.JobEntry;
import mallowstall.core.model.MachineEntry;
import mallowstall.core.model.MachineGroupEntry;
import mallowstall.core.model.MachineType;
import mallowstall.core.model.ProgramVersion;
import mallowstall.core.model.StoredEntry;
import mallowstall.core.model.TaskState;
import mallowstall.core.model.Team;
import mallowstall.state.StoredEntries;

/**
 * Several real cores on simulated time against stand-ins for the state service, the cloud, workers
 * and users, with losses, delays, late and repeated messages, crashes, cuts and clock drift.
 */
final class Simulation {
  static final List<String> NODES = List.of("n0", "n1", "n2");

  static final Map<String, String> ZONE_BY_NODE = Map.of("n0", "a", "n1", "b", "n2", "a");

  static final long HEARTBEAT_MS = 1_000;

  static final long LEASE_MS = 10_000;

  static final long CANCEL_MS = 35_000;

  /** Something that happens at a time; of like times the first one planned comes first. */
  private record ScheduledEvent(long atMs, long order, Runnable action) {}

  private final PriorityQueue<ScheduledEvent> queue =
      new PriorityQueue<>(
          (a, b) ->
              a.atMs != b.atMs ? Long.compare(a.atMs, b.atMs) : Long.compare(a.order, b.order));

  private long nextEventOrder;

  long nowMs = 1;

  final SplittableRandom random;

  /** For what users' questions alone cause, so that a question changes nothing else by chance. */
  private final SplittableRandom questionRandom;

  final Map<String, Team> teams =
      Map.of("free", new Team("free", 0, 0, 0, 0), "tight", new Team("tight", 8, 24, 0, 0));

  final InvariantChecker checker = new InvariantChecker(teams, CANCEL_MS);

  final SimulatedStateService stateService = new SimulatedStateService(this);

  final SimulatedUsers users = new SimulatedUsers(this);

  final Map<String, SimulatedController> controllers = new LinkedHashMap<>();

  final Map<String, SimulatedWorker> workers = new LinkedHashMap<>();

  final Map<String, List<String>> scaleOutResults = new HashMap<>();

  private int nextMachineNumber;

  int maxMachines = 12;

  /** Share of messages to the state service and to workers that go astray. */
  double messageLossRate;

  /** Share of status updates that are lost, and of those that come once more, late. */
  double statusUpdateFaultRate;

  /** Share of heartbeats of which a copy comes late, to any controller. */
  double duplicateHeartbeatRate;

  int duplicatedHeartbeats;

  /** Every direct command is executed late and its answer is lost. */
  boolean delayAllCommands;

  int delayedCommands;

  /** This zone is cut off from everything outside it; what goes in or out is delayed. */
  String partitionedZone;

  /** By how much a partition between controllers delays messages, in ms; 0: 2 to 10 s. */
  long partitionDelayMs;

  /** Share of transactions that get no answer and are carried out 2 to 12 s later. */
  double delayedTransactionRate;

  /** Longest delay of the state service's answers to all, in ms, from 300 on; 0: it isn't slow. */
  int maxStateDelayMs;

  /** Share of jobs cancelled as their last task ends, and as the last but one does. */
  double cancelAtEndRate;

  /** How often each fault was injected, by its name. */
  final Map<String, Integer> faultCounts = new TreeMap<>();

  /** Share of replicas that end by themselves within 20 s, as done or with an error. */
  double replicaExitRate;

  /** How long tasks run, in ms; 0: 1 to 7 s. */
  long taskRunMs;

  /** How long single tasks run, by job and number. */
  final Map<String, Long> taskRunMsByTask = new HashMap<>();

  long policyEvaluations;

  long ticks;

  final MachineType machineType =
      new MachineType("t8", 8, 0, 32, 20, 1, 1.0, 0.3, 8, List.of("a", "b"));

  /** Limits of the state service: bytes of a value, changes in a transaction and in a second. */
  record StateLimits(int valueBytes, int txnOps, double changesPerSecond) {}

  /** What the controllers keep to. */
  final StateLimits controllerLimits;

  final Recorder recorder;

  Simulation(long seed) {
    this(seed, ProgramVersion.CURRENT);
  }

  /** All controllers begin with this program version. */
  Simulation(long seed, int programVersion) {
    this(seed, programVersion, Recorder.OFF);
  }

  Simulation(long seed, StateLimits controllerLimits) {
    this(seed, ProgramVersion.CURRENT, controllerLimits, Recorder.OFF);
  }

  /** What leaves the controllers' cores goes to the recorder. */
  Simulation(long seed, int programVersion, Recorder recorder) {
    this(seed, programVersion, new StateLimits(8_192, 24, 120), recorder);
  }

  private Simulation(
      long seed, int programVersion, StateLimits controllerLimits, Recorder recorder) {
    this.controllerLimits = controllerLimits;
    this.recorder = recorder;
    random = new SplittableRandom(seed);
    questionRandom = new SplittableRandom(~seed);
    for (String name : NODES) {
      controllers.put(name, new SimulatedController(this, name, programVersion));
    }
    addMachines(4);
    schedule(0, this::checkInvariants);
  }

  void schedule(long delay, Runnable action) {
    queue.add(new ScheduledEvent(nowMs + Math.max(0, delay), nextEventOrder++, action));
  }

  void runUntil(long until) {
    while (!queue.isEmpty() && queue.peek().atMs <= until) {
      ScheduledEvent next = queue.poll();
      nowMs = Math.max(nowMs, next.atMs);
      next.action.run();
    }
    nowMs = until;
  }

  /** From now on nothing goes wrong by chance. */
  void stopRandomFaults() {
    messageLossRate = 0;
    statusUpdateFaultRate = 0;
    duplicateHeartbeatRate = 0;
    delayedTransactionRate = 0;
    cancelAtEndRate = 0;
    replicaExitRate = 0;
  }

  void countFault(String fault) {
    faultCounts.merge(fault, 1, Integer::sum);
  }

  private void checkInvariants() {
    checker.check(nowMs);
    for (SimulatedController node : controllers.values()) {
      if (node.running) {
        DerivedCountsCheck.check(this, node.core);
        DerivedCountsCheck.checkReturnedMachines(this, node);
      }
    }
    schedule(500, this::checkInvariants);
  }

  long randomDelayMs() {
    return randomDelayMs(random);
  }

  /** The same for a message that is about a user's question alone. */
  long randomQuestionDelayMs() {
    return randomDelayMs(questionRandom);
  }

  private static long randomDelayMs(SplittableRandom random) {
    return random.nextInt(100) < 3 ? 100 + random.nextInt(300) : 1 + random.nextInt(8);
  }

  /** Bytes of the value as the real state service gets it. */
  static int encodedSize(StoredEntry value) {
    return StoredEntries.encode(value).length;
  }

  /** Its turn in the upgrade has come: it is killed, and every later process is of the present. */
  void upgrade(SimulatedController node, long downMs) {
    node.installedVersion = ProgramVersion.CURRENT;
    countFault(node.running ? "upgrade" : "upgrade, while down");
    if (node.running) {
      node.crash(downMs);
    }
  }

  /** Whether every controller is up with the present version. */
  boolean allUpgraded() {
    return controllers.values().stream()
        .allMatch(node -> node.running && node.runningVersion == ProgramVersion.CURRENT);
  }

  String addMachine(String typeName, String zone, boolean spot, long bootMs) {
    String id = String.format("m-%06d", nextMachineNumber++);
    SimulatedWorker worker = new SimulatedWorker(this, id, zone, spot);
    workers.put(id, worker);
    schedule(
        bootMs,
        () -> {
          worker.start();
          if (!worker.dead) {
            checker.onMachineUp(
                new InvariantChecker.Machine(id, typeName, zone, spot, machineType.cpus()));
          }
        });
    return id;
  }

  /** Without state service and peers, but with its workers, until {@link #healPartitions}. */
  void isolate(SimulatedController node) {
    node.stateServiceUnreachable = true;
    for (SimulatedController controller : controllers.values()) {
      if (controller != node) {
        partition(controller, node);
      }
    }
  }

  /** The zone is cut off from everything, its controllers too, until {@link #healPartitions}. */
  void partitionZone(String zone) {
    partitionedZone = zone;
    for (SimulatedController node : controllers.values()) {
      if (!node.zone().equals(zone)) {
        continue;
      }
      node.stateServiceUnreachable = true;
      for (SimulatedController controller : controllers.values()) {
        if (!controller.zone().equals(zone)) {
          partition(node, controller);
        }
      }
    }
  }

  /** Controllers refuse each other's connections, all of them, until {@link #healPartitions}. */
  void partitionPeers() {
    for (SimulatedController node : controllers.values()) {
      for (SimulatedController controller : controllers.values()) {
        if (node != controller) {
          partition(node, controller);
        }
      }
    }
  }

  private static void partition(SimulatedController first, SimulatedController second) {
    first.partitionedPeers.put(second.name, true);
    second.partitionedPeers.put(first.name, true);
    first.disconnect(second.name);
    second.disconnect(first.name);
  }

  void healPartitions() {
    if (partitionedZone != null) {
      for (SimulatedController node : controllers.values()) {
        node.stateServiceUnreachable &= !node.zone().equals(partitionedZone);
      }
    }
    partitionedZone = null;
    for (SimulatedController controller : controllers.values()) {
      controller.partitionedPeers.clear();
    }
  }

  /** All controllers end, and are back after so long. */
  void crashAll(long downMs) {
    for (SimulatedController node : controllers.values()) {
      node.crash(downMs);
    }
  }

  /** So many ordinary machines more, half of them in either zone. */
  void addMachines(int count) {
    for (int i = 0; i < count; i++) {
      addMachine("t8", i % 2 == 0 ? "a" : "b", false, 0);
    }
  }

  /** The job's entry in the state service. */
  JobEntry jobEntry(String id) {
    return (JobEntry) stateService.entries.get(StateKeys.job(id)).value();
  }

  /** All tasks of the job that are readable as done in the state service. */
  BitSet doneBits(String id) {
    return JobBitmaps.completedTasks(
        jobEntry(id),
        key -> {
          SimulatedStateService.StoredValue value = stateService.entries.get(key);
          return value == null ? null : new StoredValue(value.value(), value.version());
        });
  }

  /** The machine's record as the first controller that is up has it. */
  MachineEntry machineEntry(String id) {
    for (SimulatedController node : controllers.values()) {
      if (node.running) {
        return node.core.store().machine(id);
      }
    }
    throw new IllegalStateException("no controller is up");
  }

  /** Ends a running replica as if by itself; false: it runs nowhere. */
  boolean exitReplica(String job, int number, ExitReason why) {
    for (SimulatedWorker worker : workers.values()) {
      for (SimulatedTask task : worker.tasks.values()) {
        if (!task.job.equals(job) || task.task != number || task.state != TaskState.RUNNING) {
          continue;
        }
        worker.taskRunner.exit(task, why);
        return true;
      }
    }
    return false;
  }

  void killMachine(String id) {
    SimulatedWorker worker = workers.remove(id);
    if (worker == null) {
      return;
    }
    worker.dead = true;
    checker.onMachineTerminated(id);
  }

  /** Crashes whoever leads most machines and whoever leads most jobs, for 100 to 900 ms. */
  void crashBusiestLeaders() {
    Map<String, Integer> machinesByLeader = new TreeMap<>();
    Map<String, Integer> jobsByLeader = new TreeMap<>();
    for (SimulatedStateService.StoredValue value : stateService.entries.values()) {
      if (value.value() instanceof MachineEntry machineEntry) {
        machinesByLeader.merge(machineEntry.node(), 1, Integer::sum);
      }
      if (value.value() instanceof MachineGroupEntry group) {
        machinesByLeader.merge(group.node(), group.machines().size(), Integer::sum);
      }
      if (value.value() instanceof JobEntry job && job.needsLeader()) {
        jobsByLeader.merge(job.leader(), 1, Integer::sum);
      }
    }
    for (Map<String, Integer> counts : List.of(machinesByLeader, jobsByLeader)) {
      SimulatedController most = null;
      for (SimulatedController node : controllers.values()) {
        if (!node.running || !counts.containsKey(node.name)) {
          continue;
        }
        if (most == null || counts.get(node.name) > counts.get(most.name)) {
          most = node;
        }
      }
      if (most == null) {
        continue;
      }
      countFault(stateService.outage ? "changeLeaders, in an outage" : "changeLeaders");
      most.crash(100 + random.nextInt(800));
    }
  }

  /** The state service refuses one controller alone, and right after it all of them. */
  void rejectOneThenOutage(SimulatedController node, long aloneMs, long outageMs) {
    countFault("refusedThenOutage");
    node.stateServiceUnreachable = true;
    schedule(
        aloneMs,
        () -> {
          node.stateServiceUnreachable = false;
          stateService.outage = true;
          schedule(outageMs, stateService::endOutage);
        });
  }
}
