package mallowstall.core;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
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
import mallowstall.Constants;
import mallowstall.core.Model.Command;
import mallowstall.core.Model.CoreSettings;
import mallowstall.core.Model.Entry;
import mallowstall.core.Model.ExitReason;
import mallowstall.core.Model.Final;
import mallowstall.core.Model.GroupRec;
import mallowstall.core.Model.JobKind;
import mallowstall.core.Model.JobRec;
import mallowstall.core.Model.JobSpec;
import mallowstall.core.Model.Listed;
import mallowstall.core.Model.MachineRec;
import mallowstall.core.Model.MachineType;
import mallowstall.core.Model.PeerMessage;
import mallowstall.core.Model.Priority;
import mallowstall.core.Model.RentRequest;
import mallowstall.core.Model.Report;
import mallowstall.core.Model.ReportAnswer;
import mallowstall.core.Model.Roster;
import mallowstall.core.Model.RosterTask;
import mallowstall.core.Model.Stops;
import mallowstall.core.Model.TaskReport;
import mallowstall.core.Model.TaskState;
import mallowstall.core.Model.Team;
import mallowstall.core.Model.UserAnswer;

/**
 * Several real cores on simulated time against stand-ins for the state service, the cloud, workers
 * and users, with losses, delays, late and repeated messages, crashes, cuts and clock drift.
 */
final class Sim {
  static final List<String> NODES = List.of("n0", "n1", "n2");
  static final Map<String, String> ZONES = Map.of("n0", "a", "n1", "b", "n2", "a");
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
  final Rules rules = new Rules(teams, CANCEL);
  final StateService state = new StateService();
  final Map<String, Node> nodes = new LinkedHashMap<>();
  final Map<String, Worker> workers = new LinkedHashMap<>();
  private final Map<String, List<String>> rentals = new HashMap<>();
  private int machineNo;
  private int capacity = 12;

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
  private final StateLimits kept;

  Sim(long seed) {
    this(seed, ClusterVersion.CURRENT);
  }

  /** All controllers begin with this program version. */
  Sim(long seed, int programVersion) {
    this(seed, programVersion, new StateLimits(8_192, 24, 120));
  }

  Sim(long seed, StateLimits kept) {
    this(seed, ClusterVersion.CURRENT, kept);
  }

  private Sim(long seed, int programVersion, StateLimits kept) {
    this.kept = kept;
    rnd = new SplittableRandom(seed);
    for (String n : NODES) {
      nodes.put(n, new Node(n, programVersion));
    }
    for (int i = 0; i < 4; i++) {
      machine("t8", i % 2 == 0 ? "a" : "b", false, 0);
    }
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
    for (Node node : nodes.values()) {
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
    for (String id : c.owner().unpublishedChanges()) {
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
  private static final ObjectMapper JSON = mallowstall.cli.Main.json();

  /** Bytes of the value as the real state service gets it. */
  static int size(Entry value) {
    try {
      return JSON.writeValueAsBytes(value).length;
    } catch (JsonProcessingException failure) {
      throw new IllegalStateException(failure);
    }
  }

  /** A stand-in for the state service. */
  final class StateService {
    /** A stored value. */
    record Val(Entry value, long version, long lease) {}

    final TreeMap<String, Val> keys = new TreeMap<>();
    final List<Effects.Item> changes = new ArrayList<>();
    final Map<Long, Long> leases = new HashMap<>();
    final Map<Long, Long> ttls = new HashMap<>();
    long revision;
    long leaseNo;
    boolean outage;

    /** What it refuses to exceed, null: nothing. What is stored already stays. */
    private StateLimits limits;

    /** Changes that may come at once, at most a second's; refilled up to that moment. */
    private double changesLeft;

    private long changesLeftAt;

    /** Given each transaction right after it was carried out. */
    Consumer<Effects.Txn> changed = transaction -> {};

    /** From now on these limits hold, without notice. */
    void limitTo(StateLimits now) {
      limits = now;
      changesLeft = now.changesPerSecond();
      changesLeftAt = Sim.this.now;
    }

    /** Why the transaction exceeds the limits; OK: it doesn't. */
    private Effects.Code exceeds(Effects.Txn transaction) {
      if (limits == null) {
        return Effects.Code.OK;
      }
      int changes = transaction.puts().size() + transaction.drops().size();
      boolean large = changes > limits.txnOps() || transaction.when().size() > 4 * limits.txnOps();
      for (Effects.Put put : transaction.puts()) {
        large |= size(put.value()) > limits.valueBytes();
      }
      if (large) {
        strike("limits, too large");
        return Effects.Code.MALFORMED;
      }
      double rate = limits.changesPerSecond();
      changesLeft = Math.min(rate, changesLeft + (now - changesLeftAt) * rate / 1_000);
      changesLeftAt = now;
      if (changes > changesLeft) {
        strike("limits, too many");
        return Effects.Code.REFUSED;
      }
      changesLeft -= changes;
      return Effects.Code.OK;
    }

    /** All transactions that came here, whatever became of them. */
    final List<Effects.Txn> asked = new ArrayList<>();

    void set(String key, Entry v, long rev, long lease) {
      if (v == null) {
        if (keys.remove(key) == null) {
          return;
        }
      } else {
        keys.put(key, new Val(v, rev, lease));
      }
      changes.add(new Effects.Item(key, v, rev));
    }

    void expire() {
      if (outage) {
        return;
      }
      for (Long l : new ArrayList<>(leases.keySet())) {
        if (leases.get(l) <= now) {
          end(l);
        }
      }
    }

    void end(long l) {
      leases.remove(l);
      List<String> gone = new ArrayList<>();
      keys.forEach(
          (k, value) -> {
            if (value.lease == l) {
              gone.add(k);
            }
          });
      if (gone.isEmpty()) {
        return;
      }
      revision++;
      for (String k : gone) {
        set(k, null, revision, 0);
      }
    }

    Effects.TxnReply transact(Effects.Txn transaction) {
      expire();
      asked.add(transaction);
      Effects.Code exceeds = exceeds(transaction);
      if (exceeds != Effects.Code.OK) {
        return new Effects.TxnReply(exceeds, 0);
      }
      for (Effects.Put put : transaction.puts()) {
        if (put.lease() != 0 && !leases.containsKey(put.lease())) {
          return new Effects.TxnReply(Effects.Code.NO_LEASE, revision);
        }
      }
      for (Effects.Cond condition : transaction.when()) {
        Val value = keys.get(condition.key());
        if ((value == null ? 0 : value.version) != condition.version()) {
          return new Effects.TxnReply(Effects.Code.CONFLICT, revision);
        }
      }
      revision++;
      for (Effects.Put p : transaction.puts()) {
        set(p.key(), p.value(), revision, p.lease());
      }
      for (String k : transaction.drops()) {
        set(k, null, revision, 0);
      }
      changed.accept(transaction);
      return new Effects.TxnReply(Effects.Code.OK, revision);
    }

    void recover() {
      outage = false;
      leases.replaceAll((l, end) -> now + ttls.get(l));
    }
  }

  // ---- nodes --------------------------------------------------------------------------------
  /** A controller, and the world as it sees it. */
  final class Node implements Effects {
    final String name;
    Core core;
    int life;
    boolean up;

    /** The program version that it boots with next. */
    int installed;

    /** The program version of its present process. */
    int running;

    /** What happens once, when it next asks the state service for a job of another's. */
    Runnable atNextClaim;

    boolean noState;

    /** Its next watch is told that what it asks for is too old. */
    boolean tooOld;

    /** Its watches are told nothing. */
    boolean watchStopped;

    /** ms by which the answers to its changes of machines' records are late. */
    long recordsLate;

    /** ms added to what the state service answers this node. */
    long lag;

    /** Orders to stop tasks, to whomever. */
    int stopsSent;

    /** It stands still from its next event on for so many ms, while its clocks run on. */
    long freezeFor;

    private long frozenUntil;

    /** What the event under way decides leaves only so much later. */
    long lateBy;

    final double drift = rnd.nextDouble() * 0.0004;
    final long skew = rnd.nextInt(40) - 20;
    final Map<String, Long> connection = new HashMap<>();
    final Map<String, Long> lastArrival = new HashMap<>();
    final Map<String, Boolean> cut = new HashMap<>();
    long connections;

    Node(String name, int programVersion) {
      this.name = name;
      this.installed = programVersion;
      boot();
    }

    void boot() {
      life++;
      up = true;
      running = installed;
      frozenUntil = 0;
      connections = 0;
      List<String> peers = new ArrayList<>(NODES);
      peers.remove(name);
      core =
          new Core(
              new CoreSettings(
                  name,
                  peers,
                  ZONES,
                  teams,
                  REPORT,
                  LEASE,
                  CANCEL,
                  25,
                  300,
                  kept.changesPerSecond,
                  kept.txnOps,
                  kept.valueBytes,
                  5,
                  2_000,
                  Map.of(),
                  running),
              this,
              c -> new TestPolicy(c, () -> evaluations++),
              new Core.Metrics() {
                @Override
                public void count(String what) {}

                @Override
                public void time(String what, long ms) {}
              },
              rnd.nextLong());
      for (String p : peers) {
        at(20, () -> connect(p));
      }
      int l = life;
      at(5, () -> tick(l));
    }

    String zone() {
      return ZONES.get(name);
    }

    void crash(long downMs) {
      up = false;
      life++;
      connection.clear();
      at(downMs, this::boot);
    }

    boolean knowsServices() {
      return running >= ClusterVersion.WITH_SERVICES;
    }

    /**
     * What its program makes of an entry; null: it can't read it. Versions without services read no
     * entry of an open service, and take a cancelled one for that of a batch job.
     */
    private Entry read(Entry value) {
      if (knowsServices() || !(value instanceof JobRec job)) {
        return value;
      }
      if (job.fin() == Final.SERVING) {
        return null;
      }
      return job.spec().service() ? asBatch(job) : job;
    }

    /** The items that its program sees in listings and watches. */
    private boolean sees(String key, Entry value) {
      if (knowsServices()) {
        return true;
      }
      if (key.startsWith(Store.VERSIONS)) {
        return false;
      }
      return value == null || read(value) != null;
    }

    void tick(int l) {
      if (l != life) {
        return;
      }
      ticks++;
      if (now >= frozenUntil) {
        event(core::tick);
      }
      at(Constants.TICK_MS, () -> tick(l));
    }

    void event(Runnable action) {
      if (!up) {
        return;
      }
      int l = life;
      if (now < frozenUntil) {
        // lies unread until it wakes
        at(
            frozenUntil - now,
            () -> {
              if (l == life) {
                event(action);
              }
            });
        return;
      }
      if (freezeFor > 0) {
        // between the reading of the clock and the sending of what was decided
        lateBy = freezeFor;
        frozenUntil = now + freezeFor;
        freezeFor = 0;
      }
      core.time((long) (now * (1 + drift)), 1_700_000_000_000L + now + skew);
      action.run();
      core.settle();
      lateBy = 0;
      if (core.nextTimer() != Long.MAX_VALUE) {
        at(
            Math.max(1, core.nextTimer() - (long) (now * (1 + drift))),
            () -> {
              if (l == life && now >= frozenUntil) {
                core.time((long) (now * (1 + drift)), 1_700_000_000_000L + now + skew);
                core.settle();
              }
            });
      }
    }

    private void back(long delay, Runnable action) {
      int l = life;
      at(
          delay,
          () -> {
            if (l == life) {
              event(action);
            }
          });
    }

    void connect(String peer) {
      if (!up || connection.containsKey(peer)) {
        return;
      }
      if (Boolean.TRUE.equals(cut.get(peer)) || !nodes.containsKey(peer) || !nodes.get(peer).up) {
        int l = life;
        at(
            700,
            () -> {
              if (l == life) {
                connect(peer);
              }
            });
        return;
      }
      long n = ++connections;
      connection.put(peer, n);
      event(() -> core.connected(peer, n));
    }

    void drop(String peer) {
      connection.remove(peer);
      int l = life;
      at(
          700,
          () -> {
            if (l == life) {
              connect(peer);
            }
          });
    }

    @Override
    public void send(String node, PeerMessage message) {
      if (message instanceof Stops) {
        stopsSent++;
      }
      if (!connection.containsKey(node)) {
        return;
      }
      Node other = nodes.get(node);
      int l = other.life;
      if (message instanceof Roster && rnd.nextDouble() < rosterChaos) {
        boolean lost = rnd.nextBoolean();
        at(
            rnd.nextInt(6_000),
            () -> {
              if (other.up && other.life == l) {
                other.event(() -> other.core.message(message));
              }
            });
        if (lost) {
          return;
        }
      }
      // in order; behind a cut it is held and delivered late
      long when = Math.max(now + lateBy + delay() / 2, lastArrival.getOrDefault(node, 0L));
      if (Boolean.TRUE.equals(cut.get(node))) {
        when = Math.max(when, now + (heldMs > 0 ? heldMs : 2_000 + rnd.nextInt(8_000)));
      }
      lastArrival.put(node, when);
      at(
          when - now,
          () -> {
            if (other.up && other.life == l) {
              other.event(() -> other.core.message(message));
            } else if (connection.containsKey(node)) {
              drop(node);
            }
          });
    }

    private <T> void ask(
        java.util.function.Supplier<T> exec, T refused, T unknown, Consumer<T> then) {
      if (lateBy > 0) {
        // executed when it wakes, with the answer long given up on
        at(lateBy, exec::get);
        back(lateBy, () -> then.accept(unknown));
        return;
      }
      if (state.outage || noState) {
        back(5, () -> then.accept(refused));
        return;
      }
      double dice = rnd.nextDouble();
      if (dice < loss / 3) { // never arrives
        back(Constants.STATE_TIMEOUT_MS, () -> then.accept(unknown));
      } else if (dice < loss * 2 / 3) { // executed, the answer is lost
        at(delay(), exec::get);
        back(Constants.STATE_TIMEOUT_MS, () -> then.accept(unknown));
      } else if (dice < loss) { // executed late
        at(500 + rnd.nextInt(4_000), exec::get);
        back(Constants.STATE_TIMEOUT_MS, () -> then.accept(unknown));
      } else {
        long d = delay();
        int l = life;
        if (slowState > 0) {
          slowly(exec, unknown, then);
          return;
        }
        at(
            d,
            () -> {
              T task = exec.get();
              int still = life;
              if (l == still) {
                back(1 + lag, () -> then.accept(task));
              }
            });
      }
    }

    /** Executed at some moment of the delay; what takes too long is given up on. */
    private <T> void slowly(java.util.function.Supplier<T> exec, T unknown, Consumer<T> then) {
      strike("slowState");
      int whole = slowness();
      int l = life;
      boolean late = whole > Constants.STATE_TIMEOUT_MS;
      if (late) {
        back(Constants.STATE_TIMEOUT_MS, () -> then.accept(unknown));
      }
      int before = rnd.nextInt(whole);
      at(
          before,
          () -> {
            T task = exec.get();
            if (!late && l == life) {
              back(whole - before, () -> then.accept(task));
            }
          });
    }

    private int slowness() {
      return 300 + rnd.nextInt(Math.max(1, slowState - 300));
    }

    @Override
    public void transact(Txn txn, Consumer<TxnReply> reply) {
      boolean record = txn.puts().stream().anyMatch(put -> put.value() instanceof MachineRec);
      if (record && recordsLate > 0) {
        transactNow(txn, result -> back(recordsLate, () -> reply.accept(result)));
      } else {
        transactNow(txn, reply);
      }
    }

    private void transactNow(Txn txn, Consumer<TxnReply> then) {
      if (atNextClaim != null && claims(txn)) {
        Runnable meeting = atNextClaim;
        atNextClaim = null;
        strike("claim");
        at(0, meeting);
      }
      boolean served = !state.outage && !noState && lateBy == 0;
      if (served && lateWrites > 0 && rnd.nextDouble() < lateWrites) {
        strike("lateWrites");
        at(
            2_000 + rnd.nextInt(10_000),
            () -> {
              if (!state.outage && state.transact(txn).code() == Code.OK) {
                strike("lateWrites, applied");
              }
            });
        back(Constants.STATE_TIMEOUT_MS, () -> then.accept(new TxnReply(Code.UNKNOWN, 0)));
        return;
      }
      ask(
          () -> state.transact(txn),
          new TxnReply(Code.REFUSED, 0),
          new TxnReply(Code.UNKNOWN, 0),
          then);
    }

    /** Whether the transaction takes over a job that another process holds. */
    private boolean claims(Txn txn) {
      for (Put put : txn.puts()) {
        if (!(put.value() instanceof JobRec claimed)) {
          continue;
        }
        StateService.Val present = state.keys.get(put.key());
        if (present == null || !(present.value() instanceof JobRec before)) {
          continue;
        }
        if (claimed.epoch() > before.epoch()) {
          return true;
        }
      }
      return false;
    }

    @Override
    public int encodedSize(Entry value) {
      return size(value);
    }

    @Override
    public void get(String key, Consumer<GetReply> then) {
      ask(
          () -> {
            state.expire();
            StateService.Val stored = state.keys.get(key);
            if (stored == null) {
              return new GetReply(Code.OK, new Item(key, null, 0));
            }
            Entry value = read(stored.value());
            if (value == null) {
              return new GetReply(Code.REFUSED, null);
            }
            return new GetReply(Code.OK, new Item(key, value, stored.version()));
          },
          new GetReply(Code.REFUSED, null),
          new GetReply(Code.UNKNOWN, null),
          then);
    }

    @Override
    public void list(String after, Consumer<ListReply> then) {
      ask(
          () -> {
            state.expire();
            List<Item> out = new ArrayList<>();
            boolean more = false;
            for (Map.Entry<String, StateService.Val> entry :
                state.keys.tailMap(after == null ? "" : after, false).entrySet()) {
              if (!sees(entry.getKey(), entry.getValue().value())) {
                continue;
              }
              if (out.size() == 7) { // small pages, so that changes come between them
                more = true;
                break;
              }
              Entry value = read(entry.getValue().value());
              out.add(new Item(entry.getKey(), value, entry.getValue().version()));
            }
            return new ListReply(Code.OK, out, more, state.revision);
          },
          new ListReply(Code.REFUSED, List.of(), false, 0),
          new ListReply(Code.REFUSED, List.of(), false, 0),
          then);
    }

    @Override
    public void watch(long after, long holdMs, Consumer<WatchReply> then) {
      int l = life;
      long until = now + holdMs;
      at(delay(), () -> look(after, until, l, then));
    }

    private void look(long after, long until, int l, Consumer<WatchReply> then) {
      if (l != life) {
        return;
      }
      if (tooOld) {
        tooOld = false;
        back(1, () -> then.accept(new WatchReply(Code.GONE, List.of(), 0)));
        return;
      }
      if (!state.outage && !noState && !watchStopped) {
        state.expire();
        List<Item> out = new ArrayList<>();
        for (int i = state.changes.size() - 1;
            i >= 0 && state.changes.get(i).version() > after;
            i--) {
          Item change = state.changes.get(i);
          if (!sees(change.key(), change.value())) {
            continue;
          }
          out.add(0, new Item(change.key(), read(change.value()), change.version()));
        }
        if (!out.isEmpty() || now >= until) {
          long rev = state.revision;
          long d = delay() + lag + (slowState > 0 ? slowness() : 0);
          if (now + d > until + Constants.STATE_TIMEOUT_MS && slowState > 0) {
            back(d, () -> then.accept(new WatchReply(Code.UNKNOWN, List.of(), 0)));
            return;
          }
          back(d, () -> then.accept(new WatchReply(Code.OK, out, rev)));
          return;
        }
      } else if (now > until + Constants.STATE_TIMEOUT_MS) {
        back(1, () -> then.accept(new WatchReply(Code.REFUSED, List.of(), 0)));
        return;
      }
      at(20, () -> look(after, until, l, then));
    }

    @Override
    public void grantLease(long ttlMs, Consumer<LeaseReply> then) {
      ask(
          () -> {
            long l = ++state.leaseNo;
            state.leases.put(l, now + ttlMs);
            state.ttls.put(l, ttlMs);
            return new LeaseReply(Code.OK, l);
          },
          new LeaseReply(Code.REFUSED, 0),
          new LeaseReply(Code.UNKNOWN, 0),
          then);
    }

    @Override
    public void renewLease(long lease, Consumer<LeaseReply> then) {
      ask(
          () -> {
            state.expire();
            if (!state.leases.containsKey(lease)) {
              return new LeaseReply(Code.GONE, lease);
            }
            state.leases.put(lease, now + state.ttls.get(lease));
            return new LeaseReply(Code.OK, lease);
          },
          new LeaseReply(Code.REFUSED, lease),
          new LeaseReply(Code.UNKNOWN, lease),
          then);
    }

    @Override
    public void order(
        String addr, long token, long session, List<Command> commands, Consumer<OrderReply> then) {
      Worker worker = workers.get(addr);
      if (lateBy > 0 && worker != null) {
        at(lateBy, () -> worker.whenAwake(() -> worker.orders(token, session, commands)));
        back(lateBy, () -> then.accept(new OrderReply(Code.UNKNOWN, null)));
        return;
      }
      if (worker == null || worker.cutFrom(this) || worker.deaf) {
        if (worker != null && worker.cutFrom(this) && rnd.nextBoolean()) {
          // held by the cut, executed late
          at(
              1_000 + rnd.nextInt(15_000),
              () -> worker.whenAwake(() -> worker.orders(token, session, commands)));
          back(Constants.ORDER_TIMEOUT_MS, () -> then.accept(new OrderReply(Code.UNKNOWN, null)));
        } else {
          back(
              Constants.ORDER_TIMEOUT_MS,
              () ->
                  then.accept(new OrderReply(worker == null ? Code.REFUSED : Code.UNKNOWN, null)));
        }
        return;
      }
      double dice = rnd.nextDouble();
      if (strayOrders) {
        strayed++;
        dice = 0;
      }
      if (dice < loss || strayOrders) {
        at(
            !strayOrders && dice < loss / 2 ? delay() : 500 + rnd.nextInt(20_000),
            () -> worker.whenAwake(() -> worker.orders(token, session, commands)));
        back(Constants.ORDER_TIMEOUT_MS, () -> then.accept(new OrderReply(Code.UNKNOWN, null)));
        return;
      }
      int l = life;
      at(
          delay(),
          () -> {
            if (worker.hangs()) {
              heldOrders(worker, token, session, commands, l, then);
              return;
            }
            if (worker.mute) {
              strike("mute, ordered");
            }
            OrderReply reply = worker.orders(token, session, commands);
            if (l == life) {
              back(delay(), () -> then.accept(reply));
            }
          });
    }

    /** Executed when the machine goes on, perhaps long after it was given up on. */
    private void heldOrders(
        Worker worker,
        long token,
        long session,
        List<Command> commands,
        int l,
        Consumer<OrderReply> then) {
      strike("hang, ordered");
      boolean[] over = {false};
      if (l == life) {
        back(
            Constants.ORDER_TIMEOUT_MS,
            () -> {
              if (over[0]) {
                return;
              }
              over[0] = true;
              then.accept(new OrderReply(Code.UNKNOWN, null));
            });
      }
      worker.whenAwake(
          () -> {
            OrderReply reply = worker.orders(token, session, commands);
            if (reply.code() == Code.OK) {
              strike("hang, held orders executed");
            }
            if (l != life) {
              return;
            }
            back(
                delay(),
                () -> {
                  if (over[0]) {
                    return;
                  }
                  over[0] = true;
                  then.accept(reply);
                });
          });
    }

    @Override
    public void types(Consumer<List<MachineType>> then) {
      back(20, () -> then.accept(List.of(type)));
    }

    @Override
    public void rent(RentRequest request, Consumer<RentReply> then) {
      back(
          30,
          () -> {
            List<String> got = rentals.get(request.name());
            if (got == null) {
              got = new ArrayList<>();
              while (got.size() < request.count() && workers.size() < capacity) {
                got.add(
                    machine(
                        request.type(),
                        request.zone(),
                        request.spot(),
                        2_000 + rnd.nextInt(6_000)));
              }
              if (!got.isEmpty()) {
                rentals.put(request.name(), got);
              }
            }
            then.accept(new RentReply(got.isEmpty() ? 503 : 200, got));
          });
    }

    @Override
    public void returnMachines(List<String> machines, Consumer<Boolean> then) {
      if (machines.size() > Constants.RETURN_MAX) { // as the protocol has it
        back(30, () -> then.accept(false));
        return;
      }
      for (String m : machines) {
        killMachine(m);
      }
      back(30, () -> then.accept(true));
    }

    @Override
    public void listMachines(String after, Consumer<ListedReply> then) {
      List<Listed> out = new ArrayList<>();
      for (Worker worker : workers.values()) {
        out.add(
            new Listed(
                worker.id,
                "t8",
                worker.zone,
                worker.spot,
                "running",
                (now - worker.born) / 1000.0));
      }
      at(2_000, () -> {});
      back(2_000, () -> then.accept(new ListedReply(true, out, false)));
    }
  }

  private static JobRec asBatch(JobRec job) {
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
  void upgrade(Node node, long downMs) {
    node.installed = ClusterVersion.CURRENT;
    strike(node.up ? "upgrade" : "upgrade, while down");
    if (node.up) {
      node.crash(downMs);
    }
  }

  /** Whether every controller is up with the present version. */
  boolean allUpgraded() {
    return nodes.values().stream()
        .allMatch(node -> node.up && node.running == ClusterVersion.CURRENT);
  }

  // ---- workers ------------------------------------------------------------------------------
  String machine(String t, String zone, boolean spot, long bootMs) {
    String id = String.format("m-%06d", machineNo++);
    Worker worker = new Worker(id, zone, spot);
    workers.put(id, worker);
    at(
        bootMs,
        () -> {
          worker.begin();
          if (!worker.dead) {
            rules.machineUp(new Rules.Machine(id, t, zone, spot, type.cpus()));
          }
        });
    return id;
  }

  /** Without state service and peers, but with its workers, until {@link #rejoin}. */
  void isolate(Node node) {
    node.noState = true;
    for (Node controller : nodes.values()) {
      if (controller != node) {
        part(controller, node);
      }
    }
  }

  /** The zone is cut off from everything, its controllers too, until {@link #rejoin}. */
  void cutOff(String zone) {
    cutZone = zone;
    for (Node node : nodes.values()) {
      if (!node.zone().equals(zone)) {
        continue;
      }
      node.noState = true;
      for (Node controller : nodes.values()) {
        if (!controller.zone().equals(zone)) {
          part(node, controller);
        }
      }
    }
  }

  /** Controllers refuse each other's connections, all of them, until {@link #rejoin}. */
  void refusePeers() {
    for (Node node : nodes.values()) {
      for (Node controller : nodes.values()) {
        if (node != controller) {
          part(node, controller);
        }
      }
    }
  }

  private static void part(Node a, Node b) {
    a.cut.put(b.name, true);
    b.cut.put(a.name, true);
    a.drop(b.name);
    b.drop(a.name);
  }

  void rejoin() {
    if (cutZone != null) {
      for (Node node : nodes.values()) {
        node.noState &= !node.zone().equals(cutZone);
      }
    }
    cutZone = null;
    for (Node controller : nodes.values()) {
      controller.cut.clear();
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
          StateService.Val value = state.keys.get(key);
          return value == null ? null : new Store.Held(value.value(), value.version());
        });
  }

  /** The machine's record as the first controller that is up has it. */
  MachineRec machineRec(String id) {
    for (Node node : nodes.values()) {
      if (node.up) {
        return node.core.store().machine(id);
      }
    }
    throw new IllegalStateException("no controller is up");
  }

  /** Ends a running replica as if by itself; false: it runs nowhere. */
  boolean endReplica(String job, int number, ExitReason why) {
    for (Worker worker : workers.values()) {
      for (Worker.T task : worker.tasks.values()) {
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
    Worker worker = workers.remove(id);
    if (worker == null) {
      return;
    }
    worker.dead = true;
    rules.machineGone(id);
  }

  /** A stand-in for a worker and its machine. */
  final class Worker {
    final String id;
    final String zone;
    final boolean spot;
    final long born = now;
    long token;
    long session = 1;
    long seq;
    long leaseFrom;
    boolean dead;
    boolean cut;

    /** Its reports arrive, answers and commands don't reach it. */
    boolean deaf;

    /** Its reports reach no controller; commands reach it and are answered. */
    boolean mute;

    /** Answers and commands reach it again. */
    void hearAgain() {
      cut = false;
      deaf = false;
    }

    /** It executes and sends nothing until then. */
    private long hangsUntil;

    /** What has come since it hangs, in order. */
    private final List<Runnable> held = new ArrayList<>();

    /** Its lease ran out while it hung: the next session begins when it goes on. */
    private boolean newSession;

    boolean faulty;

    /** When the cloud takes it away, by its notice; 0: no notice. */
    private long goneAt;

    String node = NODES.get(rnd.nextInt(3));
    long flight;
    boolean inFlight;
    long lastReport = -10_000;
    boolean changed;
    final Map<String, Long> images = new HashMap<>();
    final Map<String, T> tasks = new LinkedHashMap<>();

    /** Tasks that completed here: their results are kept. */
    private final java.util.Set<String> completed = new java.util.HashSet<>();

    /** A task on the machine. */
    final class T {
      String job;
      int task;
      long attempt;
      TaskState state;
      ExitReason why;
      int step;

      /** When what it does now is done; later if its machine hangs. */
      long due;
    }

    Worker(String id, String zone, boolean spot) {
      this.id = id;
      this.zone = zone;
      this.spot = spot;
    }

    /** The cloud tells it that it will be gone after so long. */
    void notice(long ms) {
      if (dead || goneAt != 0) {
        return;
      }
      strike("notice");
      goneAt = now + ms;
      changed = true;
      at(ms, () -> killMachine(id));
    }

    void begin() {
      leaseFrom = now;
      loop();
    }

    /**
     * Executes and sends nothing for so long. Its tasks make no progress meanwhile, and go on
     * unless its lease has run out.
     */
    void hang(long ms) {
      if (dead) {
        return;
      }
      strike("hang");
      long more = Math.max(0, now + ms - Math.max(now, hangsUntil));
      hangsUntil = Math.max(hangsUntil, now + ms);
      for (T task : tasks.values()) {
        task.due += more;
      }
      at(ms, this::goOn);
    }

    boolean hangs() {
      return now < hangsUntil;
    }

    private void goOn() {
      if (dead || hangs()) {
        return;
      }
      judgeLease();
      if (newSession) {
        leaseFrom = now;
      }
      newSession = false;
      List<Runnable> come = new ArrayList<>(held);
      held.clear();
      for (Runnable action : come) {
        action.run();
      }
    }

    void whenAwake(Runnable action) {
      if (hangs()) {
        held.add(action);
      } else {
        action.run();
      }
    }

    /**
     * While it hangs nothing of this shows; its tasks count as gone from the lease's end on, since
     * it can't go on with them any more.
     */
    private void judgeLease() {
      if (now - leaseFrom <= LEASE || newSession) {
        return;
      }
      if (hangs()) {
        strike("hang, beyond its lease");
      }
      for (T task : tasks.values()) {
        rules.left(id, task.job, task.task, false);
      }
      tasks.clear();
      session++;
      leaseFrom = now;
      newSession = hangs();
      changed = true;
    }

    void loop() {
      if (dead) {
        return;
      }
      judgeLease();
      if (hangs()) {
        at(100, this::loop);
        return;
      }
      boolean due =
          now - lastReport >= REPORT * 3 / 4 + rnd.nextInt((int) REPORT / 2)
              || (changed && now - lastReport >= 500);
      if (due && !inFlight) {
        report();
      }
      at(100, this::loop);
    }

    Report snapshot() {
      List<TaskReport> l = new ArrayList<>();
      for (T task : tasks.values()) {
        l.add(new TaskReport(task.job, task.task, task.attempt, task.state, task.why, false));
      }
      Double noticeS = goneAt == 0 ? null : (Double) ((goneAt - now) / 1000.0);
      return new Report(id, id, "t8", zone, spot, session, ++seq, token, noticeS, l);
    }

    void report() {
      inFlight = true;
      changed = false;
      lastReport = now;
      long mine = ++flight;
      long sent = now;
      Report report = snapshot();
      Node controller = nodes.get(node);
      at(
          4_000,
          () ->
              whenAwake(
                  () -> {
                    if (flight == mine && inFlight) {
                      next();
                    }
                  }));
      if (mute) {
        strike("mute");
        return;
      }
      if (rnd.nextDouble() < lateCopies) {
        Node any = nodes.get(NODES.get(rnd.nextInt(3)));
        copied++;
        at(
            200 + rnd.nextInt(3 * (int) LEASE),
            () -> {
              if (any.up) {
                any.event(() -> any.core.report(report, reportAnswer -> {}));
              }
            });
      }
      if (cutFrom(controller)) {
        if (rnd.nextBoolean()) {
          at(
              1_000 + rnd.nextInt(20_000),
              () -> {
                if (controller.up) {
                  controller.event(() -> controller.core.report(report, a -> {}));
                }
              });
        }
        return;
      }
      if (!controller.up) {
        at(
            5,
            () -> {
              if (flight == mine) {
                next();
              }
            });
        return;
      }
      if (rnd.nextDouble() < loss) {
        return; // lost, or answered to nobody
      }
      int l = controller.life;
      at(
          delay(),
          () -> {
            if (!controller.up || controller.life != l) {
              if (flight == mine) {
                next();
              }
              return;
            }
            controller.event(
                () ->
                    controller.core.report(
                        report,
                        a ->
                            at(
                                delay() + controller.lateBy,
                                () ->
                                    whenAwake(
                                        () -> {
                                          // given up on, though it hung then
                                          if (now - sent > 4_000 && flight == mine && inFlight) {
                                            next();
                                          }
                                          if (flight == mine
                                              && inFlight
                                              && !cutFrom(controller)
                                              && !deaf) {
                                            answer(a, sent, report.session());
                                          }
                                        }))));
          });
    }

    boolean cutFrom(Node node) {
      return cut || cutZone != null && zone.equals(cutZone) != node.zone().equals(cutZone);
    }

    private void next() {
      inFlight = false;
      flight++;
      node = NODES.get((NODES.indexOf(node) + 1) % 3);
      lastReport = now + 1_000 - REPORT * 5 / 4;
    }

    void answer(ReportAnswer answer, long sent, long forSession) {
      if (dead) {
        return;
      }
      inFlight = false;
      if (answer.status() == 421 && answer.reportTo() != null && !answer.reportTo().equals(node)) {
        node = answer.reportTo();
        lastReport = -10_000;
        return;
      }
      if (answer.status() != 200) {
        next();
        return;
      }
      if (answer.token() < token || forSession != session) {
        return;
      }
      if (answer.token() > token) {
        token = answer.token();
        changed = true;
      }
      leaseFrom = sent;
      for (Command command : answer.commands()) {
        execute(command);
      }
    }

    Effects.OrderReply orders(long tok, long ses, List<Command> commands) {
      if (dead) {
        return new Effects.OrderReply(Effects.Code.UNKNOWN, null);
      }
      if (tok < token || ses != session) {
        return new Effects.OrderReply(Effects.Code.CONFLICT, snapshot());
      }
      if (tok > token) {
        token = tok;
        changed = true;
      }
      for (Command command : commands) {
        execute(command);
      }
      return new Effects.OrderReply(Effects.Code.OK, snapshot());
    }

    void execute(Command command) {
      String key = command.job() + "/" + command.task() + "#" + command.attempt();
      T task = tasks.get(key);
      switch (command.kind()) {
        case START -> {
          if (task != null) {
            return;
          }
          task = new T();
          task.job = command.job();
          task.task = command.task();
          task.attempt = command.attempt();
          tasks.put(key, task);
          changed = true;
          for (T o : tasks.values()) {
            if (o != task
                && o.job.equals(task.job)
                && o.task == task.task
                && o.state != TaskState.EXITED) {
              task.state = TaskState.EXITED;
              task.why = ExitReason.BUSY;
              return;
            }
          }
          task.state = TaskState.FETCHING;
          T x = task;
          int step = ++task.step;
          progress(
              x,
              images.containsKey(command.job()) ? 1 : 500 + rnd.nextInt(2_000),
              () -> running(x, key, step));
        }
        case STOP -> {
          if (task == null || task.state == TaskState.EXITED) {
            return;
          }
          exit(task, ExitReason.STOPPED);
        }
        case FORGET -> {
          if (task != null && task.state == TaskState.EXITED) {
            tasks.remove(key);
          }
        }
      }
    }

    private void progress(T task, long ms, Runnable then) {
      task.due = now + ms;
      at(ms, () -> atDue(task, then));
    }

    private void atDue(T task, Runnable then) {
      if (now < task.due) {
        at(task.due - now, () -> atDue(task, then));
      } else {
        then.run();
      }
    }

    void running(T task, String key, int step) {
      if (dead || tasks.get(key) != task || task.step != step || task.state != TaskState.FETCHING) {
        return;
      }
      images.put(task.job, now);
      if (completed.contains(task.job + "/" + task.task)) {
        strike("result kept");
        exit(task, ExitReason.DONE);
        return;
      }
      task.state = TaskState.RUNNING;
      changed = true;
      rules.started(now, new Rules.OnMachine(id, task.job, task.task, "t8", zone, spot));
      if (rules.service(task.job) && !faulty) {
        if (replicaEnds > 0 && rnd.nextDouble() < replicaEnds) {
          endByChance(task, key);
        }
        return;
      }
      progress(
          task,
          faulty ? 1 : runs(task),
          () -> endItself(task, key, faulty ? ExitReason.ERROR : ExitReason.DONE));
    }

    private void endByChance(T task, String key) {
      ExitReason why = rnd.nextBoolean() ? ExitReason.DONE : ExitReason.ERROR;
      strike("replica ended: " + why);
      progress(task, rnd.nextInt(20_000), () -> endItself(task, key, why));
    }

    private void endItself(T task, String key, ExitReason why) {
      if (dead || tasks.get(key) != task || task.state != TaskState.RUNNING) {
        return;
      }
      exit(task, why);
    }

    private long runs(T task) {
      Long own = runOf.get(task.job + "/" + task.task);
      return own != null ? own : runMs > 0 ? runMs : 1_000 + rnd.nextInt(6_000);
    }

    void exit(T task, ExitReason why) {
      boolean was = task.state == TaskState.RUNNING;
      task.state = TaskState.EXITED;
      task.why = why;
      changed = true;
      if (was) {
        rules.left(id, task.job, task.task, why == ExitReason.DONE);
      }
      if (why == ExitReason.DONE) {
        completed.add(task.job + "/" + task.task);
      }
      if (was && why == ExitReason.DONE) {
        cancelAtItsEnd(task.job);
      }
    }
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
        "c-" + priority,
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
  void submitAt(Node node, JobSpec spec, Consumer<UserAnswer> reply) {
    if (spec.service() && !node.knowsServices()) {
      node.event(() -> node.core.refuse(spec.id(), "oficio must be batch", reply));
    } else {
      node.event(() -> node.core.submit(spec, reply));
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
    Node node = nodes.get(NODES.get(rnd.nextInt(3)));
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
    Node node = nodes.get(NODES.get(rnd.nextInt(3)));
    long asked = now;
    if (node.up) {
      node.event(
          () ->
              node.core.query(
                  id, answer -> rules.told(now, asked, id, answer.status(), answer.state())));
    }
    at(2_000 + rnd.nextInt(3_000), () -> poll(id));
  }

  void cancel(String id) {
    rules.asksToCancel(id);
    Node node = nodes.get(NODES.get(rnd.nextInt(3)));
    if (!node.up) {
      at(1_000, () -> cancel(id));
      return;
    }
    long asked = now;
    node.event(
        () ->
            node.core.cancel(
                id,
                answer -> {
                  rules.told(now, asked, id, answer.status(), answer.state());
                  if (answer.state() == null && answer.status() != 404) {
                    at(1_000, () -> cancel(id));
                  }
                }));
  }

  private void cancelAtItsEnd(String job) {
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
      Worker worker = workers.get(m);
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
    Node node = nodes.get(NODES.get(rnd.nextInt(3)));
    switch (rnd.nextInt(4)) {
      case 0 -> {
        if (told.isEmpty() || !node.up) {
          return;
        }
        String id = told.get(rnd.nextInt(told.size()));
        String last = rules.lastTold(id);
        boolean over = "done".equals(last) || "cancelled".equals(last);
        strike(over ? "oddRequests, over again" : "oddRequests, again");
        long asked = now;
        submitAt(
            node,
            rules.spec(id),
            answer -> rules.told(now, asked, id, answer.status(), answer.state()));
      }
      case 1 -> {
        if (done.isEmpty()) {
          return;
        }
        strike("oddRequests, cancel done");
        cancel(done.get(rnd.nextInt(done.size())));
      }
      case 2 -> {
        strike("oddRequests, nobody's");
        askForNobody();
      }
      default -> {
        if (!node.up) {
          return;
        }
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
                    userAnswer -> {
                      rules.toldImpossible(now, id, userAnswer.status());
                      at(500, () -> askFor(id));
                    }));
      }
    }
  }

  /** Ends whoever owns most machines and whoever holds most jobs, for 100 to 900 ms. */
  void changeLeaders() {
    Map<String, Integer> owned = new TreeMap<>();
    Map<String, Integer> held = new TreeMap<>();
    for (StateService.Val value : state.keys.values()) {
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
      Node most = null;
      for (Node node : nodes.values()) {
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
  void refusedThenOutage(Node node, long aloneMs, long outageMs) {
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
    Node node = nodes.get(NODES.get(rnd.nextInt(3)));
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
    Node node = nodes.get(NODES.get(rnd.nextInt(3)));
    if (node.up) {
      node.event(
          () ->
              node.core.query(id, answer -> rules.told(now, id, answer.status(), answer.state())));
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
