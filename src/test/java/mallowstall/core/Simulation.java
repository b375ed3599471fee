package mallowstall.core;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;
import mallowstall.core.cluster.MachineView;
import mallowstall.core.kv.JobBitmaps;
import mallowstall.core.kv.StateKeys;
import mallowstall.core.kv.StoredValue;
import mallowstall.core.model.ApiResponse;
import mallowstall.core.model.ExitReason;
import mallowstall.core.model.JobEntry;
import mallowstall.core.model.JobKind;
import mallowstall.core.model.JobSpec;
import mallowstall.core.model.MachineEntry;
import mallowstall.core.model.MachineGroupEntry;
import mallowstall.core.model.MachineType;
import mallowstall.core.model.Priority;
import mallowstall.core.model.ProgramVersion;
import mallowstall.core.model.StoredEntry;
import mallowstall.core.model.TaskState;
import mallowstall.core.model.TaskStatus;
import mallowstall.core.model.Team;
import mallowstall.core.placement.Policy;
import mallowstall.core.placement.Policy.Block;
import mallowstall.core.placement.Policy.Facts;
import mallowstall.core.placement.Policy.Strategy;
import mallowstall.state.StoredEntries;

/**
 * Several real cores on simulated time against stand-ins for the state service, the cloud, workers
 * and users, with losses, delays, late and repeated messages, crashes, cuts and clock drift.
 */
final class Simulation {
  static final List<String> NODES = List.of("n0", "n1", "n2");
  static final Map<String, String> ZONE_BY_NODE = Map.of("n0", "a", "n1", "b", "n2", "a");

  /** The class of a job of each priority; spelt out, so as to depend on no name in the program. */
  private static final List<String> CLASSES =
      List.of("c-LOW", "c-NORMAL", "c-HIGH", "c-PRODUCTION");

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
  final Map<String, Team> teams =
      Map.of("free", new Team("free", 0, 0, 0, 0), "tight", new Team("tight", 8, 24, 0, 0));
  final InvariantChecker checker = new InvariantChecker(teams, CANCEL_MS);
  final SimulatedStateService stateService = new SimulatedStateService(this);
  final Map<String, SimulatedController> controllers = new LinkedHashMap<>();
  final Map<String, SimulatedWorker> workers = new LinkedHashMap<>();
  final Map<String, List<String>> scaleOutResults = new HashMap<>();
  private int nextMachineNumber;
  int maxMachines = 12;

  /** Share of messages to the state service and to workers that go astray. */
  double messageLossRate;

  /** Share of rosters that are lost, and of those that come once more, late. */
  double statusUpdateFaultRate;

  /** Share of reports of which a copy comes late, to any controller. */
  double duplicateHeartbeatRate;

  int duplicatedHeartbeats;

  /** Every direct command is executed late and its answer is lost. */
  boolean delayAllCommands;

  int delayedCommands;

  /**
   * This zone is cut off from everything outside it; what goes in or out is held and comes late.
   */
  String partitionedZone;

  /** By how much a cut between controllers delays what it holds, in ms; 0: 2 to 10 s. */
  long partitionDelayMs;

  /** Share of transactions that get no answer and are carried out 2 to 12 s later. */
  double delayedTransactionRate;

  /** Longest delay of the state service's answers to all, in ms, from 300 on; 0: it isn't slow. */
  int maxStateDelayMs;

  /** Share of jobs called off as their last task ends, and as the last but one does. */
  double cancelAtEndRate;

  /** How often each trouble has struck, by its name. */
  final Map<String, Integer> faultCounts = new TreeMap<>();

  private int nextUnplaceableNumber;

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

  void countFault(String trouble) {
    faultCounts.merge(trouble, 1, Integer::sum);
  }

  private void checkInvariants() {
    checker.check(nowMs);
    for (SimulatedController node : controllers.values()) {
      if (node.running) {
        checkDerivedCounts(node.core);
      }
    }
    schedule(500, this::checkInvariants);
  }

  /**
   * What the core keeps up to date with each change, against counting all of it anew: a machine
   * that is not told although it changed would let a start pass for one that never arrived.
   */
  private void checkDerivedCounts(ControllerCore core) {
    for (String id : core.unpublishedChanges()) {
      checker.violations.add(nowMs + " untold: " + id);
    }
    Map<String, Integer> placed = new HashMap<>();
    Map<String, Integer> running = new HashMap<>();
    for (MachineView machine : core.view().machines()) {
      if (machine.status() == null) {
        continue;
      }
      for (TaskStatus task : machine.status().tasks()) {
        if (task.state() != TaskState.EXITED) {
          placed.merge(task.job(), 1, Integer::sum);
        }
        if (task.state() == TaskState.RUNNING) {
          running.merge(task.job(), 1, Integer::sum);
        }
      }
    }
    for (String id : jobs) {
      if (core.view().placedTasks(id) != placed.getOrDefault(id, 0)
          || core.view().runningTasks(id) != running.getOrDefault(id, 0)) {
        checker.violations.add(nowMs + " miscounted: " + id);
      }
    }
  }

  long randomDelayMs() {
    return random.nextInt(100) < 3 ? 100 + random.nextInt(300) : 1 + random.nextInt(8);
  }

  // ---- state service ------------------------------------------------------------------------
  /** Bytes of the value as the real state service gets it. */
  static int encodedSize(StoredEntry value) {
    return StoredEntries.encode(value).length;
  }

  // ---- nodes --------------------------------------------------------------------------------

  static JobEntry asBatch(JobEntry job) {
    return new JobEntry(
        withKind(job.spec(), JobKind.BATCH),
        job.submittedMs(),
        job.leader(),
        job.incarnation(),
        job.epoch(),
        job.completionBits(),
        job.completedTaskCount(),
        job.quotaReservedTasks(),
        job.outcome());
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

  // ---- workers ------------------------------------------------------------------------------
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
      for (SimulatedWorker.SimulatedTask task : worker.tasks.values()) {
        if (!task.job.equals(job) || task.task != number || task.state != TaskState.RUNNING) {
          continue;
        }
        worker.exit(task, why);
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

  // ---- users --------------------------------------------------------------------------------
  final List<String> jobs = new ArrayList<>();

  JobSpec batchSpec(
      String id,
      int tasks,
      double cpus,
      Priority priority,
      String team,
      boolean oneZone,
      boolean spread,
      boolean spot,
      String zone) {
    return new JobSpec(
        id,
        CLASSES.get(priority.ordinal()),
        team,
        priority,
        tasks,
        cpus,
        0,
        1,
        id,
        1,
        null,
        zone,
        oneZone,
        spread,
        spot,
        4,
        0,
        0,
        60.0,
        JobKind.BATCH);
  }

  /** A service: placed like a batch job, but its replicas run until it is cancelled. */
  JobSpec serviceSpec(
      String id,
      int replicas,
      double cpus,
      Priority priority,
      String team,
      boolean oneZone,
      boolean spread,
      boolean spot,
      String zone) {
    JobSpec batch = batchSpec(id, replicas, cpus, priority, team, oneZone, spread, spot, zone);
    return withKind(batch, JobKind.SERVICE);
  }

  private static JobSpec withKind(JobSpec spec, JobKind kind) {
    return new JobSpec(
        spec.id(),
        spec.jobClass(),
        spec.team(),
        spec.priority(),
        spec.tasks(),
        spec.cpus(),
        spec.gpus(),
        spec.memoryGb(),
        spec.image(),
        spec.imageGb(),
        spec.machineTypes(),
        spec.zone(),
        spec.singleZone(),
        spec.spread(),
        spec.spot(),
        kind == JobKind.SERVICE ? 0 : spec.estimatedRunS(),
        spec.checkpointIntervalS(),
        spec.checkpointSaveS(),
        kind == JobKind.SERVICE ? null : spec.deadlineS(),
        kind);
  }

  /** Asks this controller, whose adapter refuses the kinds of jobs that its version lacks. */
  void submitAt(SimulatedController node, JobSpec spec, Consumer<ApiResponse> reply) {
    if (spec.isService() && !node.supportsServices()) {
      node.enqueueEvent(
          () ->
              node.core.rejectSubmission(
                  spec.id(), "oficio must be batch", recorder.toUser(node, spec.id(), reply)));
    } else {
      node.enqueueEvent(() -> node.core.submit(spec, recorder.toUser(node, spec.id(), reply)));
    }
  }

  void submit(JobSpec spec) {
    checker.onSubmitted(spec);
    jobs.add(spec.id());
    submitWithRetry(spec, nowMs + 60_000);
  }

  private void submitWithRetry(JobSpec spec, long until) {
    if (nowMs > until) {
      return;
    }
    SimulatedController node = controllers.get(NODES.get(random.nextInt(3)));
    long asked = nowMs;
    boolean[] answered = {false};
    if (node.running) {
      submitAt(
          node,
          spec,
          answer -> {
            answered[0] = true;
            if (random.nextDouble() < messageLossRate) {
              answered[0] = false;
            } // the user doesn't get it
            else {
              checker.onAnswer(nowMs, asked, spec.id(), answer.status(), answer.state());
            }
            if (answered[0] && answer.state() != null) {
              poll(spec.id());
            } else {
              schedule(1_000, () -> submitWithRetry(spec, until));
            }
          });
    }
    schedule(
        5_000,
        () -> {
          if (!answered[0] && nowMs - asked >= 5_000 && checker.lastState(spec.id()) == null) {
            submitWithRetry(spec, until);
          }
        });
  }

  private void poll(String id) {
    String last = checker.lastState(id);
    if ("done".equals(last) || "cancelled".equals(last)) {
      if (random.nextInt(4) > 0) {
        return;
      }
    }
    SimulatedController node = controllers.get(NODES.get(random.nextInt(3)));
    long asked = nowMs;
    if (node.running) {
      node.enqueueEvent(
          () ->
              node.core.query(
                  id,
                  recorder.toUser(
                      node,
                      id,
                      answer ->
                          checker.onAnswer(nowMs, asked, id, answer.status(), answer.state()))));
    }
    schedule(2_000 + random.nextInt(3_000), () -> poll(id));
  }

  void cancel(String id) {
    checker.onCancelRequested(id);
    SimulatedController node = controllers.get(NODES.get(random.nextInt(3)));
    if (!node.running) {
      schedule(1_000, () -> cancel(id));
      return;
    }
    long asked = nowMs;
    node.enqueueEvent(
        () ->
            node.core.cancel(
                id,
                recorder.toUser(
                    node,
                    id,
                    answer -> {
                      checker.onAnswer(nowMs, asked, id, answer.status(), answer.state());
                      if (answer.state() == null && answer.status() != 404) {
                        schedule(1_000, () -> cancel(id));
                      }
                    })));
  }

  void maybeCancelAtEnd(String job) {
    if (cancelAtEndRate <= 0) {
      return;
    }
    if (checker.isService(job)) {
      maybeCancelService(job);
      return;
    }
    if (checker.remainingTasks(job) > 1) {
      return;
    }
    if (random.nextDouble() >= cancelAtEndRate) {
      return;
    }
    countFault(checker.remainingTasks(job) == 0 ? "cancelAtEnd" : "cancelAtEnd, one task short");
    schedule(0, () -> cancel(job));
  }

  private void maybeCancelService(String service) {
    if (random.nextDouble() >= cancelAtEndRate / 4) {
      return;
    }
    countFault("cancelAtEnd, replica");
    schedule(0, () -> cancel(service));
  }

  /** Calls off up that many jobs that run, within 200 ms; up to eight of their machines hang. */
  void cancelRunningJobs(int count, long hangMs) {
    List<String> ids = new ArrayList<>(checker.runningJobs());
    java.util.Set<String> machines = new java.util.TreeSet<>();
    for (int i = 0; i < count && !ids.isEmpty(); i++) {
      String id = ids.remove(random.nextInt(ids.size()));
      countFault("cancelNow");
      machines.addAll(checker.machinesOf(id));
      schedule(random.nextInt(200), () -> cancel(id));
    }
    if (hangMs <= 0) {
      return;
    }
    int hung = 0;
    for (String machineId : machines) {
      SimulatedWorker worker = workers.get(machineId);
      if (worker == null || hung++ >= 8) {
        continue;
      }
      countFault("cancelNow, hang");
      worker.pause(hangMs);
    }
  }

  /**
   * Within 20 s so many requests that users shouldn't send: submissions of accepted jobs again,
   * over or not, cancellations of done jobs, questions about no job, jobs that can never run.
   */
  void scheduleInvalidRequests(int count) {
    for (int i = 0; i < count; i++) {
      schedule(random.nextInt(20_000), this::sendInvalidRequest);
    }
  }

  private void sendInvalidRequest() {
    List<String> answeredJobs = new ArrayList<>();
    List<String> done = new ArrayList<>();
    for (String id : jobs) {
      if (checker.lastState(id) != null) {
        answeredJobs.add(id);
      }
      if ("done".equals(checker.lastState(id))) {
        done.add(id);
      }
    }
    SimulatedController node = controllers.get(NODES.get(random.nextInt(3)));
    switch (random.nextInt(4)) {
      case 0 -> {
        if (!answeredJobs.isEmpty() && node.running) {
          resubmit(node, answeredJobs.get(random.nextInt(answeredJobs.size())));
        }
      }
      case 1 -> {
        if (!done.isEmpty()) {
          countFault("oddRequests, cancel done");
          cancel(done.get(random.nextInt(done.size())));
        }
      }
      case 2 -> {
        countFault("oddRequests, nobody's");
        queryUnknownJob();
      }
      default -> {
        if (node.running) {
          submitUnplaceable(node);
        }
      }
    }
  }

  private void resubmit(SimulatedController node, String id) {
    String last = checker.lastState(id);
    boolean over = "done".equals(last) || "cancelled".equals(last);
    countFault(over ? "oddRequests, over again" : "oddRequests, again");
    long asked = nowMs;
    submitAt(
        node,
        checker.spec(id),
        answer -> checker.onAnswer(nowMs, asked, id, answer.status(), answer.state()));
  }

  /** A job of an unknown team, or whose tasks no machine holds. */
  private void submitUnplaceable(SimulatedController node) {
    countFault("oddRequests, impossible");
    boolean team = random.nextBoolean();
    String id = String.format("wk-9%05d", nextUnplaceableNumber++);
    JobSpec spec =
        batchSpec(
            id,
            1 + random.nextInt(4),
            team ? 1 : 9,
            Priority.NORMAL,
            team ? "nobody" : "free",
            false,
            false,
            true,
            null);
    node.enqueueEvent(
        () ->
            node.core.submit(
                spec,
                recorder.toUser(
                    node,
                    id,
                    answer -> {
                      checker.onUnplaceableAnswer(nowMs, id, answer.status());
                      schedule(500, () -> queryJob(id));
                    })));
  }

  /** Ends whoever owns most machines and whoever holds most jobs, for 100 to 900 ms. */
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

  /** A service of more replicas than its team may run at once is asked for. */
  void submitUnplaceableService() {
    SimulatedController node = controllers.get(NODES.get(random.nextInt(3)));
    if (!node.running) {
      return;
    }
    countFault("impossible service");
    String id = String.format("wk-8%05d", nextUnplaceableNumber++);
    JobSpec tooMany = serviceSpec(id, 7, 4, Priority.NORMAL, "tight", false, false, true, null);
    submitAt(node, tooMany, answer -> checker.onUnplaceableAnswer(nowMs, id, answer.status()));
  }

  void queryUnknownJob() {
    queryJob("wk-999999");
  }

  private void queryJob(String id) {
    SimulatedController node = controllers.get(NODES.get(random.nextInt(3)));
    if (node.running) {
      node.enqueueEvent(
          () ->
              node.core.query(
                  id,
                  recorder.toUser(
                      node,
                      id,
                      answer -> checker.onAnswer(nowMs, id, answer.status(), answer.state()))));
    }
  }

  /** A small policy: any machine, the emptiest last. */
  record TestPolicy(String name, Runnable onEvaluate) implements Policy {
    @Override
    public List<Block> blocks() {
      return List.of(
          new Block() {
            @Override
            public boolean workers(Facts facts) {
              onEvaluate.run();
              return true;
            }

            @Override
            public boolean invalidate(Facts facts) {
              return false;
            }

            @Override
            public Strategy strategy() {
              return Strategy.LOWEST;
            }

            @Override
            public double score(Facts facts) {
              return 1 - facts.cpuUtilization;
            }
          });
    }
  }
}
