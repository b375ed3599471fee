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
import mallowstall.core.Model.Entry;
import mallowstall.core.Model.ExitReason;
import mallowstall.core.Model.GroupRec;
import mallowstall.core.Model.JobKind;
import mallowstall.core.Model.JobRec;
import mallowstall.core.Model.JobSpec;
import mallowstall.core.Model.MachineRec;
import mallowstall.core.Model.MachineType;
import mallowstall.core.Model.Priority;
import mallowstall.core.Model.RosterTask;
import mallowstall.core.Model.TaskState;
import mallowstall.core.Model.Team;
import mallowstall.core.Model.UserAnswer;
import mallowstall.state.StoredEntries;

/**
 * Several real cores on simulated time against stand-ins for the state service, the cloud, workers
 * and users, with losses, delays, late and repeated messages, crashes, cuts and clock drift.
 */
final class Simulation {
  static final List<String> NODES = List.of("n0", "n1", "n2");
  static final Map<String, String> ZONES = Map.of("n0", "a", "n1", "b", "n2", "a");

  /** The class of a job of each priority; spelt out, so as to depend on no name in the program. */
  private static final List<String> CLASSES =
      List.of("c-LOW", "c-NORMAL", "c-HIGH", "c-PRODUCTION");

  static final long REPORT = 1_000;
  static final long LEASE = 10_000;
  static final long CANCEL = 35_000;

  /** Something that happens at a time; of like times the first one planned comes first. */
  private record Ev(long at, long order, Runnable run) {}

  private final PriorityQueue<Ev> queue =
      new PriorityQueue<>(
          (a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.order, b.order));
  private long order;
  long now = 1;
  final SplittableRandom rnd;
  final Map<String, Team> teams =
      Map.of("free", new Team("free", 0, 0, 0, 0), "tight", new Team("tight", 8, 24, 0, 0));
  final InvariantChecker rules = new InvariantChecker(teams, CANCEL);
  final SimulatedStateService state = new SimulatedStateService(this);
  final Map<String, SimulatedController> nodes = new LinkedHashMap<>();
  final Map<String, SimulatedWorker> workers = new LinkedHashMap<>();
  final Map<String, List<String>> rentals = new HashMap<>();
  private int machineNo;
  int capacity = 12;

  /** Share of messages to the state service and to workers that go astray. */
  double loss;

  /** Share of rosters that are lost, and of those that come once more, late. */
  double rosterChaos;

  /** Share of reports of which a copy comes late, to any controller. */
  double lateCopies;

  int copied;

  /** Every direct command is executed late and its answer is lost. */
  boolean strayOrders;

  int strayed;

  /**
   * This zone is cut off from everything outside it; what goes in or out is held and comes late.
   */
  String cutZone;

  /** By how much a cut between controllers delays what it holds, in ms; 0: 2 to 10 s. */
  long heldMs;

  /** Share of transactions that get no answer and are carried out 2 to 12 s later. */
  double lateWrites;

  /** Longest delay of the state service's answers to all, in ms, from 300 on; 0: it isn't slow. */
  int slowState;

  /** Share of jobs called off as their last task ends, and as the last but one does. */
  double cancelAtEnd;

  /** How often each trouble has struck, by its name. */
  final Map<String, Integer> struck = new TreeMap<>();

  private int impossibleNo;

  /** Share of replicas that end by themselves within 20 s, as done or with an error. */
  double replicaEnds;

  /** How long tasks run, in ms; 0: 1 to 7 s. */
  long runMs;

  /** How long single tasks run, by job and number. */
  final Map<String, Long> runOf = new HashMap<>();

  long evaluations;
  long ticks;

  final MachineType type = new MachineType("t8", 8, 0, 32, 20, 1, 1.0, 0.3, 8, List.of("a", "b"));

  /** Limits of the state service: bytes of a value, changes in a transaction and in a second. */
  record StateLimits(int valueBytes, int txnOps, double changesPerSecond) {}

  /** What the controllers keep to. */
  final StateLimits kept;

  final Recorder recorder;

  Simulation(long seed) {
    this(seed, ProgramVersion.CURRENT);
  }

  /** All controllers begin with this program version. */
  Simulation(long seed, int programVersion) {
    this(seed, programVersion, Recorder.OFF);
  }

  Simulation(long seed, StateLimits kept) {
    this(seed, ProgramVersion.CURRENT, kept, Recorder.OFF);
  }

  /** What leaves the controllers' cores goes to the recorder. */
  Simulation(long seed, int programVersion, Recorder recorder) {
    this(seed, programVersion, new StateLimits(8_192, 24, 120), recorder);
  }

  private Simulation(long seed, int programVersion, StateLimits kept, Recorder recorder) {
    this.kept = kept;
    this.recorder = recorder;
    rnd = new SplittableRandom(seed);
    for (String n : NODES) {
      nodes.put(n, new SimulatedController(this, n, programVersion));
    }
    addMachines(4);
    at(0, this::watchRules);
  }

  void at(long delay, Runnable action) {
    queue.add(new Ev(now + Math.max(0, delay), order++, action));
  }

  void run(long until) {
    while (!queue.isEmpty() && queue.peek().at <= until) {
      Ev e = queue.poll();
      now = Math.max(now, e.at);
      e.run.run();
    }
    now = until;
  }

  /** From now on nothing goes wrong by chance. */
  void endChance() {
    loss = 0;
    rosterChaos = 0;
    lateCopies = 0;
    lateWrites = 0;
    cancelAtEnd = 0;
    replicaEnds = 0;
  }

  void strike(String trouble) {
    struck.merge(trouble, 1, Integer::sum);
  }

  private void watchRules() {
    rules.step(now);
    for (SimulatedController node : nodes.values()) {
      if (node.up) {
        compare(node.core);
      }
    }
    at(500, this::watchRules);
  }

  /**
   * What the core keeps up to date with each change, against counting all of it anew: a machine
   * that is not told although it changed would let a start pass for one that never arrived.
   */
  private void compare(Core c) {
    for (String id : c.unpublishedChanges()) {
      rules.broken.add(now + " untold: " + id);
    }
    Map<String, Integer> placed = new HashMap<>();
    Map<String, Integer> running = new HashMap<>();
    for (View.Seen machine : c.view().machines.values()) {
      if (machine.state == null) {
        continue;
      }
      for (RosterTask task : machine.state.tasks()) {
        if (task.state() != TaskState.EXITED) {
          placed.merge(task.job(), 1, Integer::sum);
        }
        if (task.state() == TaskState.RUNNING) {
          running.merge(task.job(), 1, Integer::sum);
        }
      }
    }
    for (String id : jobs) {
      if (c.view().placed(id) != placed.getOrDefault(id, 0)
          || c.view().running(id) != running.getOrDefault(id, 0)) {
        rules.broken.add(now + " miscounted: " + id);
      }
    }
  }

  long delay() {
    return rnd.nextInt(100) < 3 ? 100 + rnd.nextInt(300) : 1 + rnd.nextInt(8);
  }

  // ---- state service ------------------------------------------------------------------------
  /** Bytes of the value as the real state service gets it. */
  static int size(Entry value) {
    return StoredEntries.encode(value).length;
  }

  // ---- nodes --------------------------------------------------------------------------------

  static JobRec asBatch(JobRec job) {
    return new JobRec(
        withKind(job.spec(), JobKind.BATCH),
        job.submittedMs(),
        job.holder(),
        job.incarnation(),
        job.epoch(),
        job.done(),
        job.doneCount(),
        job.grant(),
        job.fin());
  }

  /** Its turn in the upgrade has come: it is killed, and every later process is of the present. */
  void upgrade(SimulatedController node, long downMs) {
    node.installed = ProgramVersion.CURRENT;
    strike(node.up ? "upgrade" : "upgrade, while down");
    if (node.up) {
      node.crash(downMs);
    }
  }

  /** Whether every controller is up with the present version. */
  boolean allUpgraded() {
    return nodes.values().stream()
        .allMatch(node -> node.up && node.running == ProgramVersion.CURRENT);
  }

  // ---- workers ------------------------------------------------------------------------------
  String machine(String t, String zone, boolean spot, long bootMs) {
    String id = String.format("m-%06d", machineNo++);
    SimulatedWorker worker = new SimulatedWorker(this, id, zone, spot);
    workers.put(id, worker);
    at(
        bootMs,
        () -> {
          worker.begin();
          if (!worker.dead) {
            rules.machineUp(new InvariantChecker.Machine(id, t, zone, spot, type.cpus()));
          }
        });
    return id;
  }

  /** Without state service and peers, but with its workers, until {@link #rejoin}. */
  void isolate(SimulatedController node) {
    node.noState = true;
    for (SimulatedController controller : nodes.values()) {
      if (controller != node) {
        part(controller, node);
      }
    }
  }

  /** The zone is cut off from everything, its controllers too, until {@link #rejoin}. */
  void cutOff(String zone) {
    cutZone = zone;
    for (SimulatedController node : nodes.values()) {
      if (!node.zone().equals(zone)) {
        continue;
      }
      node.noState = true;
      for (SimulatedController controller : nodes.values()) {
        if (!controller.zone().equals(zone)) {
          part(node, controller);
        }
      }
    }
  }

  /** Controllers refuse each other's connections, all of them, until {@link #rejoin}. */
  void refusePeers() {
    for (SimulatedController node : nodes.values()) {
      for (SimulatedController controller : nodes.values()) {
        if (node != controller) {
          part(node, controller);
        }
      }
    }
  }

  private static void part(SimulatedController a, SimulatedController b) {
    a.cut.put(b.name, true);
    b.cut.put(a.name, true);
    a.drop(b.name);
    b.drop(a.name);
  }

  void rejoin() {
    if (cutZone != null) {
      for (SimulatedController node : nodes.values()) {
        node.noState &= !node.zone().equals(cutZone);
      }
    }
    cutZone = null;
    for (SimulatedController controller : nodes.values()) {
      controller.cut.clear();
    }
  }

  /** All controllers end, and are back after so long. */
  void crashAll(long downMs) {
    for (SimulatedController node : nodes.values()) {
      node.crash(downMs);
    }
  }

  /** So many ordinary machines more, half of them in either zone. */
  void addMachines(int count) {
    for (int i = 0; i < count; i++) {
      machine("t8", i % 2 == 0 ? "a" : "b", false, 0);
    }
  }

  /** The job's entry in the state service. */
  JobRec entry(String id) {
    return (JobRec) state.keys.get(Store.JOBS + id).value();
  }

  /** All tasks of the job that are readable as done in the state service. */
  BitSet doneBits(String id) {
    return JobEntries.done(
        entry(id),
        key -> {
          SimulatedStateService.Val value = state.keys.get(key);
          return value == null ? null : new Store.Held(value.value(), value.version());
        });
  }

  /** The machine's record as the first controller that is up has it. */
  MachineRec machineRec(String id) {
    for (SimulatedController node : nodes.values()) {
      if (node.up) {
        return node.core.store().machine(id);
      }
    }
    throw new IllegalStateException("no controller is up");
  }

  /** Ends a running replica as if by itself; false: it runs nowhere. */
  boolean endReplica(String job, int number, ExitReason why) {
    for (SimulatedWorker worker : workers.values()) {
      for (SimulatedWorker.T task : worker.tasks.values()) {
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
    rules.machineGone(id);
  }

  // ---- users --------------------------------------------------------------------------------
  final List<String> jobs = new ArrayList<>();

  JobSpec job(
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
  JobSpec service(
      String id,
      int replicas,
      double cpus,
      Priority priority,
      String team,
      boolean oneZone,
      boolean spread,
      boolean spot,
      String zone) {
    JobSpec batch = job(id, replicas, cpus, priority, team, oneZone, spread, spot, zone);
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
        spec.types(),
        spec.zone(),
        spec.oneZone(),
        spec.spread(),
        spec.spot(),
        kind == JobKind.SERVICE ? 0 : spec.estimateS(),
        spec.checkpointS(),
        spec.saveS(),
        kind == JobKind.SERVICE ? null : spec.deadlineS(),
        kind);
  }

  /** Asks this controller, whose adapter refuses the kinds of jobs that its version lacks. */
  void submitAt(SimulatedController node, JobSpec spec, Consumer<UserAnswer> reply) {
    if (spec.service() && !node.knowsServices()) {
      node.event(
          () ->
              node.core.refuse(
                  spec.id(), "oficio must be batch", recorder.toUser(node, spec.id(), reply)));
    } else {
      node.event(() -> node.core.submit(spec, recorder.toUser(node, spec.id(), reply)));
    }
  }

  void submit(JobSpec spec) {
    rules.submitted(spec);
    jobs.add(spec.id());
    trySubmit(spec, now + 60_000);
  }

  private void trySubmit(JobSpec spec, long until) {
    if (now > until) {
      return;
    }
    SimulatedController node = nodes.get(NODES.get(rnd.nextInt(3)));
    long asked = now;
    boolean[] answered = {false};
    if (node.up) {
      submitAt(
          node,
          spec,
          answer -> {
            answered[0] = true;
            if (rnd.nextDouble() < loss) {
              answered[0] = false;
            } // the user doesn't get it
            else {
              rules.told(now, asked, spec.id(), answer.status(), answer.state());
            }
            if (answered[0] && answer.state() != null) {
              poll(spec.id());
            } else {
              at(1_000, () -> trySubmit(spec, until));
            }
          });
    }
    at(
        5_000,
        () -> {
          if (!answered[0] && now - asked >= 5_000 && rules.lastTold(spec.id()) == null) {
            trySubmit(spec, until);
          }
        });
  }

  private void poll(String id) {
    String last = rules.lastTold(id);
    if ("done".equals(last) || "cancelled".equals(last)) {
      if (rnd.nextInt(4) > 0) {
        return;
      }
    }
    SimulatedController node = nodes.get(NODES.get(rnd.nextInt(3)));
    long asked = now;
    if (node.up) {
      node.event(
          () ->
              node.core.query(
                  id,
                  recorder.toUser(
                      node,
                      id,
                      answer -> rules.told(now, asked, id, answer.status(), answer.state()))));
    }
    at(2_000 + rnd.nextInt(3_000), () -> poll(id));
  }

  void cancel(String id) {
    rules.asksToCancel(id);
    SimulatedController node = nodes.get(NODES.get(rnd.nextInt(3)));
    if (!node.up) {
      at(1_000, () -> cancel(id));
      return;
    }
    long asked = now;
    node.event(
        () ->
            node.core.cancel(
                id,
                recorder.toUser(
                    node,
                    id,
                    answer -> {
                      rules.told(now, asked, id, answer.status(), answer.state());
                      if (answer.state() == null && answer.status() != 404) {
                        at(1_000, () -> cancel(id));
                      }
                    })));
  }

  void cancelAtItsEnd(String job) {
    if (cancelAtEnd <= 0) {
      return;
    }
    if (rules.service(job)) {
      cancelAtReplicasEnd(job);
      return;
    }
    if (rules.tasksLeft(job) > 1) {
      return;
    }
    if (rnd.nextDouble() >= cancelAtEnd) {
      return;
    }
    strike(rules.tasksLeft(job) == 0 ? "cancelAtEnd" : "cancelAtEnd, one task short");
    at(0, () -> cancel(job));
  }

  private void cancelAtReplicasEnd(String service) {
    if (rnd.nextDouble() >= cancelAtEnd / 4) {
      return;
    }
    strike("cancelAtEnd, replica");
    at(0, () -> cancel(service));
  }

  /** Calls off up that many jobs that run, within 200 ms; up to eight of their machines hang. */
  void cancelNow(int count, long hangMs) {
    List<String> ids = new ArrayList<>(rules.running());
    java.util.Set<String> theirs = new java.util.TreeSet<>();
    for (int i = 0; i < count && !ids.isEmpty(); i++) {
      String id = ids.remove(rnd.nextInt(ids.size()));
      strike("cancelNow");
      theirs.addAll(rules.machinesOf(id));
      at(rnd.nextInt(200), () -> cancel(id));
    }
    if (hangMs <= 0) {
      return;
    }
    int n = 0;
    for (String m : theirs) {
      SimulatedWorker worker = workers.get(m);
      if (worker == null || n++ >= 8) {
        continue;
      }
      strike("cancelNow, hang");
      worker.hang(hangMs);
    }
  }

  /**
   * Within 20 s so many requests that users shouldn't send: submissions of accepted jobs again,
   * over or not, cancellations of done jobs, questions about no job, jobs that can never run.
   */
  void oddRequests(int n) {
    for (int i = 0; i < n; i++) {
      at(rnd.nextInt(20_000), this::oddRequest);
    }
  }

  private void oddRequest() {
    List<String> told = new ArrayList<>();
    List<String> done = new ArrayList<>();
    for (String id : jobs) {
      if (rules.lastTold(id) != null) {
        told.add(id);
      }
      if ("done".equals(rules.lastTold(id))) {
        done.add(id);
      }
    }
    SimulatedController node = nodes.get(NODES.get(rnd.nextInt(3)));
    switch (rnd.nextInt(4)) {
      case 0 -> {
        if (!told.isEmpty() && node.up) {
          submitAgain(node, told.get(rnd.nextInt(told.size())));
        }
      }
      case 1 -> {
        if (!done.isEmpty()) {
          strike("oddRequests, cancel done");
          cancel(done.get(rnd.nextInt(done.size())));
        }
      }
      case 2 -> {
        strike("oddRequests, nobody's");
        askForNobody();
      }
      default -> {
        if (node.up) {
          submitImpossible(node);
        }
      }
    }
  }

  private void submitAgain(SimulatedController node, String id) {
    String last = rules.lastTold(id);
    boolean over = "done".equals(last) || "cancelled".equals(last);
    strike(over ? "oddRequests, over again" : "oddRequests, again");
    long asked = now;
    submitAt(
        node,
        rules.spec(id),
        answer -> rules.told(now, asked, id, answer.status(), answer.state()));
  }

  /** A job of an unknown team, or whose tasks no machine holds. */
  private void submitImpossible(SimulatedController node) {
    strike("oddRequests, impossible");
    boolean team = rnd.nextBoolean();
    String id = String.format("wk-9%05d", impossibleNo++);
    JobSpec spec =
        job(
            id,
            1 + rnd.nextInt(4),
            team ? 1 : 9,
            Priority.NORMAL,
            team ? "nobody" : "free",
            false,
            false,
            true,
            null);
    node.event(
        () ->
            node.core.submit(
                spec,
                recorder.toUser(
                    node,
                    id,
                    answer -> {
                      rules.toldImpossible(now, id, answer.status());
                      at(500, () -> askFor(id));
                    })));
  }

  /** Ends whoever owns most machines and whoever holds most jobs, for 100 to 900 ms. */
  void changeLeaders() {
    Map<String, Integer> owned = new TreeMap<>();
    Map<String, Integer> held = new TreeMap<>();
    for (SimulatedStateService.Val value : state.keys.values()) {
      if (value.value() instanceof MachineRec record) {
        owned.merge(record.node(), 1, Integer::sum);
      }
      if (value.value() instanceof GroupRec group) {
        owned.merge(group.node(), group.machines().size(), Integer::sum);
      }
      if (value.value() instanceof JobRec job && job.open()) {
        held.merge(job.holder(), 1, Integer::sum);
      }
    }
    for (Map<String, Integer> m : List.of(owned, held)) {
      SimulatedController most = null;
      for (SimulatedController node : nodes.values()) {
        if (!node.up || !m.containsKey(node.name)) {
          continue;
        }
        if (most == null || m.get(node.name) > m.get(most.name)) {
          most = node;
        }
      }
      if (most == null) {
        continue;
      }
      strike(state.outage ? "changeLeaders, in an outage" : "changeLeaders");
      most.crash(100 + rnd.nextInt(800));
    }
  }

  /** The state service refuses one controller alone, and right after it all of them. */
  void refusedThenOutage(SimulatedController node, long aloneMs, long outageMs) {
    strike("refusedThenOutage");
    node.noState = true;
    at(
        aloneMs,
        () -> {
          node.noState = false;
          state.outage = true;
          at(outageMs, state::recover);
        });
  }

  /** A service of more replicas than its team may run at once is asked for. */
  void askForImpossibleService() {
    SimulatedController node = nodes.get(NODES.get(rnd.nextInt(3)));
    if (!node.up) {
      return;
    }
    strike("impossible service");
    String id = String.format("wk-8%05d", impossibleNo++);
    JobSpec tooMany = service(id, 7, 4, Priority.NORMAL, "tight", false, false, true, null);
    submitAt(node, tooMany, answer -> rules.toldImpossible(now, id, answer.status()));
  }

  void askForNobody() {
    askFor("wk-999999");
  }

  private void askFor(String id) {
    SimulatedController node = nodes.get(NODES.get(rnd.nextInt(3)));
    if (node.up) {
      node.event(
          () ->
              node.core.query(
                  id,
                  recorder.toUser(
                      node, id, answer -> rules.told(now, id, answer.status(), answer.state()))));
    }
  }

  /** A small policy: any machine, the emptiest last. */
  record TestPolicy(String name, Runnable seen) implements Policy {
    @Override
    public List<Block> blocks() {
      return List.of(
          new Block() {
            @Override
            public boolean workers(Facts facts) {
              seen.run();
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
              return 1 - facts.used;
            }
          });
    }
  }
}
