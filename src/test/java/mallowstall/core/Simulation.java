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
import mallowstall.core.model.ProgramVersion;
import mallowstall.core.model.StoredEntry;
import mallowstall.core.model.TaskState;
import mallowstall.core.model.Team;
import mallowstall.state.StoredEntries;

/**
 * Runs several real cores on simulated time against a simulated state service, cloud, workers and
 * users. It simulates lost, delayed and duplicated messages, crashes, partitions and clock drift.
 */
final class Simulation {
  static final List<String> NODES = List.of("n0", "n1", "n2");

  static final Map<String, String> ZONE_BY_NODE = Map.of("n0", "a", "n1", "b", "n2", "a");

  static final long HEARTBEAT_MS = 1_000;

  static final long LEASE_MS = 10_000;

  static final long CANCEL_MS = 35_000;

  /** An action at a time. Actions at equal times run in the order in which they were scheduled. */
  private record ScheduledEvent(long atMs, long order, Runnable action) {}

  private final PriorityQueue<ScheduledEvent> queue =
      new PriorityQueue<>(
          (a, b) ->
              a.atMs != b.atMs ? Long.compare(a.atMs, b.atMs) : Long.compare(a.order, b.order));

  private long nextEventOrder;

  long nowMs = 1;

  final SplittableRandom random;

  /** Random source for effects of queries alone, so that a query changes no other random draw. */
  private final SplittableRandom queryRandom;

  final Map<String, Team> teams =
      Map.of("free", new Team("free", 0, 0, 0, 0), "tight", new Team("tight", 8, 24, 0, 0));

  final InvariantChecker checker = new InvariantChecker(teams, CANCEL_MS);

  final SimulatedStateService stateService = new SimulatedStateService(this);

  final SimulatedUsers users = new SimulatedUsers(this);

  final Map<String, SimulatedController> controllers = new LinkedHashMap<>();

  final Map<String, SimulatedWorker> workers = new LinkedHashMap<>();

  final CloudState cloudState = new CloudState();

  private int nextMachineNumber;

  int maxMachines = 12;

  /**
   * Share of heartbeats, commands, requests to the state service and answers to submissions that
   * are lost, or whose responses are lost.
   */
  double messageLossRate;

  /** Share of status updates that arrive up to 6 s late, or in time and again up to 6 s later. */
  double statusUpdateFaultRate;

  /** Share of heartbeats of which a late copy arrives at a random controller. */
  double duplicateHeartbeatRate;

  int duplicatedHeartbeats;

  /** Whether every direct command is executed late and its response is lost. */
  boolean delayAllCommands;

  int delayedCommands;

  final ExecutedCommands executedCommands;
  final CarriedOutMessages carriedOut;

  /** The partitioned zone, or null if there is none; messages in or out are delayed or lost. */
  String partitionedZone;

  /** Delay of messages between partitioned controllers in milliseconds, or 0 for 2 to 10 s. */
  long partitionDelayMs;

  /** Share of transactions that get no response and are executed 2 to 12 s later. */
  double delayedTransactionRate;

  /** Maximum delay of the state service's responses in milliseconds, 300 or more; 0 for none. */
  int maxStateDelayMs;

  /**
   * Share of batch jobs that are cancelled when their last task ends, and when the last but one
   * ends. When a replica is done, its service is cancelled at a quarter of this rate.
   */
  double cancelAtEndRate;

  /** Number of injected faults, by the name of the fault. */
  final Map<String, Integer> faultCounts = new TreeMap<>();

  /** Share of replicas that exit on their own within 20 s, as done or with an error. */
  double replicaExitRate;

  /** Time in milliseconds that the fetch of an image takes, or 0 for 0.5 to 2.5 s. */
  long imageFetchMs;

  /** Whether fetches take as long as the size of the image and the type's rate make expect. */
  boolean fetchesBySize;

  /** Run time of tasks in milliseconds, or 0 for a random run time of 1 to 7 s. */
  long taskRunMs;

  /** Run time of single tasks in milliseconds, by {@code job/task number}. */
  final Map<String, Long> taskRunMsByTask = new HashMap<>();

  long policyEvaluations;
  long ticks;

  /** Limits of the state service: bytes per value, changes per transaction, changes per second. */
  record StateLimits(int valueBytes, int txnOps, double changesPerSecond) {}

  private static final StateLimits DEFAULT_LIMITS = new StateLimits(8_192, 24, 120);

  final WorkerTimes workerTimes;

  /** The limits that the controllers are configured with. */
  final StateLimits controllerLimits;

  final Recorder recorder;

  Simulation(long seed) {
    this(seed, ProgramVersion.CURRENT);
  }

  /** Creates a simulation whose controllers all start with this program version. */
  Simulation(long seed, int programVersion) {
    this(seed, programVersion, Recorder.OFF);
  }

  Simulation(long seed, StateLimits controllerLimits) {
    this(seed, ProgramVersion.CURRENT, controllerLimits, WorkerTimes.SHORT, Recorder.OFF);
  }

  /** Creates a simulation whose recorder sees all effects and answers of the controllers' cores. */
  Simulation(long seed, int programVersion, Recorder recorder) {
    this(seed, programVersion, DEFAULT_LIMITS, WorkerTimes.SHORT, recorder);
  }

  /** Creates a simulation in which workers have these times. */
  Simulation(long seed, WorkerTimes workerTimes) {
    this(seed, ProgramVersion.CURRENT, DEFAULT_LIMITS, workerTimes, Recorder.OFF);
  }

  private Simulation(
      long seed,
      int programVersion,
      StateLimits controllerLimits,
      WorkerTimes workerTimes,
      Recorder recorder) {
    this.controllerLimits = controllerLimits;
    this.workerTimes = workerTimes;
    this.recorder = recorder;
    random = new SplittableRandom(seed);
    queryRandom = new SplittableRandom(~seed);
    executedCommands = new ExecutedCommands(this, seed);
    carriedOut = new CarriedOutMessages(this, seed);
    if (programVersion == ProgramVersion.CURRENT) {
      checker.checkRunStates(new RunStateHistory(() -> nowMs));
    }
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

  /** Stops all random faults from now on. */
  void stopRandomFaults() {
    messageLossRate = 0;
    statusUpdateFaultRate = 0;
    duplicateHeartbeatRate = 0;
    delayedTransactionRate = 0;
    cancelAtEndRate = 0;
    replicaExitRate = 0;
    executedCommands.repeatRate = 0;
    carriedOut.repeatRate = 0;
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

  /** Returns a random delay for a message that only a user's query causes, in milliseconds. */
  long randomQueryDelayMs() {
    return randomDelayMs(queryRandom);
  }

  private static long randomDelayMs(SplittableRandom random) {
    return random.nextInt(100) < 3 ? 100 + random.nextInt(300) : 1 + random.nextInt(8);
  }

  /** Returns the size of the value in bytes, as encoded for the real state service. */
  static int encodedSize(StoredEntry value) {
    return StoredEntries.encode(value).length;
  }

  /** Upgrades a controller: crashes it, and later processes run the current program version. */
  void upgrade(SimulatedController node, long downMs) {
    node.installedVersion = ProgramVersion.CURRENT;
    countFault(node.running ? "upgrade" : "upgrade, while down");
    if (node.running) {
      node.crash(downMs);
    }
  }

  /** Returns whether every controller is running with the current program version. */
  boolean allUpgraded() {
    return controllers.values().stream()
        .allMatch(node -> node.running && node.runningVersion == ProgramVersion.CURRENT);
  }

  String addMachine(String typeName, String zone, boolean spot, long bootMs) {
    String id = String.format("m-%06d", nextMachineNumber++);
    SimulatedWorker worker = new SimulatedWorker(this, id, typeName, zone, spot);
    workers.put(id, worker);
    schedule(
        bootMs,
        () -> {
          worker.start();
          if (!worker.dead) {
            checker.onMachineUp(
                new InvariantChecker.Machine(
                    id, typeName, zone, spot, cloudState.cpusOf(typeName)));
          }
        });
    return id;
  }

  /**
   * Partitions a controller from the state service and its peers, but not from its workers. The
   * test ends this by {@link #healPartitions} and by a reset of {@code stateServiceUnreachable}.
   */
  void isolate(SimulatedController node) {
    node.stateServiceUnreachable = true;
    for (SimulatedController controller : controllers.values()) {
      if (controller != node) {
        partition(controller, node);
      }
    }
  }

  /** Partitions the zone and its controllers from the outside until {@link #healPartitions}. */
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

  /** Partitions all controllers from each other until {@link #healPartitions} is called. */
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

  /** Crashes all controllers. They restart after {@code downMs} milliseconds. */
  void crashAll(long downMs) {
    for (SimulatedController node : controllers.values()) {
      node.crash(downMs);
    }
  }

  /** Adds machines that are not spot machines, half of them in either zone. */
  void addMachines(int count) {
    for (int i = 0; i < count; i++) {
      addMachine("t8", i % 2 == 0 ? "a" : "b", false, 0);
    }
  }

  /** Returns the job's entry in the state service. */
  JobEntry jobEntry(String id) {
    return (JobEntry) stateService.entries.get(StateKeys.job(id)).value();
  }

  /** Returns the tasks of the job that are recorded as done in the state service. */
  BitSet doneBits(String id) {
    return JobBitmaps.completedTasks(
        jobEntry(id),
        key -> {
          SimulatedStateService.StoredValue value = stateService.entries.get(key);
          return value == null ? null : new StoredValue(value.value(), value.version());
        });
  }

  /** Returns the machine's entry in the state replica of the first running controller. */
  MachineEntry machineEntry(String id) {
    for (SimulatedController node : controllers.values()) {
      if (node.running) {
        return node.core.store().machine(id);
      }
    }
    throw new IllegalStateException("no controller is up");
  }

  /** Makes a running replica exit on its own; returns false if the replica runs nowhere. */
  boolean exitReplica(String job, int number, ExitReason reason) {
    for (SimulatedWorker worker : workers.values()) {
      for (SimulatedTask task : worker.tasks.values()) {
        if (!task.job.equals(job) || task.task != number || task.state != TaskState.RUNNING) {
          continue;
        }
        worker.taskRunner.exit(task, reason);
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

  /** Makes the state service reject one controller alone, and right afterwards all of them. */
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
