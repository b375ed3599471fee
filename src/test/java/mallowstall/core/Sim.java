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
import mallowstall.core.Model.Why;

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
    for (String n : NODES) nodes.put(n, new Node(n, programVersion));
    for (int i = 0; i < 4; i++) {
      machine("t8", i % 2 == 0 ? "a" : "b", false, 0);
    }
    at(0, this::watchRules);
  }

  void at(long delay, Runnable r) {
    queue.add(new Ev(now + Math.max(0, delay), order++, r));
  }

  void run(long until) {
    while (!queue.isEmpty() && queue.peek().at <= until) {
      Ev e = queue.poll();
      now = Math.max(now, e.at);
      e.run.run();
    }
    now = until;
  }

  void strike(String trouble) {
    struck.merge(trouble, 1, Integer::sum);
  }

  private void watchRules() {
    rules.step(now);
    for (Node n : nodes.values())
      if (n.up) {
        compare(n.core);
      }
    at(500, this::watchRules);
  }

  /**
   * What the core keeps up to date with each change, against counting all of it anew: a machine
   * that is not told although it changed would let a start pass for one that never arrived.
   */
  private void compare(Core c) {
    for (String id : c.owner().untold()) rules.broken.add(now + " untold: " + id);
    Map<String, Integer> placed = new HashMap<>();
    Map<String, Integer> running = new HashMap<>();
    for (View.Seen s : c.view().machines.values()) {
      if (s.m == null) {
        continue;
      }
      for (RosterTask t : s.m.tasks()) {
        if (t.state() != TaskState.EXITED) {
          placed.merge(t.job(), 1, Integer::sum);
        }
        if (t.state() == TaskState.RUNNING) {
          running.merge(t.job(), 1, Integer::sum);
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
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(e);
    }
  }

  final class StateService {
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
    Consumer<Effects.Txn> changed = t -> {};

    /** From now on these limits hold, without notice. */
    void limitTo(StateLimits now) {
      limits = now;
      changesLeft = now.changesPerSecond();
      changesLeftAt = Sim.this.now;
    }

    /** Why the transaction exceeds the limits; OK: it doesn't. */
    private Effects.Code exceeds(Effects.Txn t) {
      if (limits == null) {
        return Effects.Code.OK;
      }
      int changes = t.puts().size() + t.drops().size();
      boolean large = changes > limits.txnOps() || t.when().size() > 4 * limits.txnOps();
      for (Effects.Put p : t.puts()) large |= size(p.value()) > limits.valueBytes();
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
          (k, v) -> {
            if (v.lease == l) {
              gone.add(k);
            }
          });
      if (gone.isEmpty()) {
        return;
      }
      revision++;
      for (String k : gone) set(k, null, revision, 0);
    }

    Effects.TxnReply transact(Effects.Txn t) {
      expire();
      asked.add(t);
      Effects.Code exceeds = exceeds(t);
      if (exceeds != Effects.Code.OK) {
        return new Effects.TxnReply(exceeds, 0);
      }
      for (Effects.Put p : t.puts()) {
        if (p.lease() != 0 && !leases.containsKey(p.lease())) {
          return new Effects.TxnReply(Effects.Code.NO_LEASE, revision);
        }
      }
      for (Effects.Cond c : t.when()) {
        Val v = keys.get(c.key());
        if ((v == null ? 0 : v.version) != c.version()) {
          return new Effects.TxnReply(Effects.Code.CONFLICT, revision);
        }
      }
      revision++;
      for (Effects.Put p : t.puts()) set(p.key(), p.value(), revision, p.lease());
      for (String k : t.drops()) set(k, null, revision, 0);
      changed.accept(t);
      return new Effects.TxnReply(Effects.Code.OK, revision);
    }

    void recover() {
      outage = false;
      leases.replaceAll((l, end) -> now + ttls.get(l));
    }
  }

  // ---- nodes --------------------------------------------------------------------------------
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
      for (String p : peers) at(20, () -> connect(p));
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

    void event(Runnable r) {
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
                event(r);
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
      r.run();
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

    private void back(long delay, Runnable r) {
      int l = life;
      at(
          delay,
          () -> {
            if (l == life) {
              event(r);
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
    public void send(String node, PeerMessage m) {
      if (m instanceof Stops) {
        stopsSent++;
      }
      if (!connection.containsKey(node)) {
        return;
      }
      Node other = nodes.get(node);
      int l = other.life;
      if (m instanceof Roster && rnd.nextDouble() < rosterChaos) {
        boolean lost = rnd.nextBoolean();
        at(
            rnd.nextInt(6_000),
            () -> {
              if (other.up && other.life == l) {
                other.event(() -> other.core.message(m));
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
              other.event(() -> other.core.message(m));
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
              T t = exec.get();
              int still = life;
              if (l == still) {
                back(1 + lag, () -> then.accept(t));
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
            T t = exec.get();
            if (!late && l == life) {
              back(whole - before, () -> then.accept(t));
            }
          });
    }

    private int slowness() {
      return 300 + rnd.nextInt(Math.max(1, slowState - 300));
    }

    @Override
    public void transact(Txn txn, Consumer<TxnReply> reply) {
      boolean record = txn.puts().stream().anyMatch(p -> p.value() instanceof MachineRec);
      if (record && recordsLate > 0) {
        transactNow(txn, r -> back(recordsLate, () -> reply.accept(r)));
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
            StateService.Val v = state.keys.get(key);
            if (v == null) {
              return new GetReply(Code.OK, new Item(key, null, 0));
            }
            Entry value = read(v.value());
            if (value == null) {
              return new GetReply(Code.REFUSED, null);
            }
            return new GetReply(Code.OK, new Item(key, value, v.version()));
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
            for (Map.Entry<String, StateService.Val> e :
                state.keys.tailMap(after == null ? "" : after, false).entrySet()) {
              if (!sees(e.getKey(), e.getValue().value())) {
                continue;
              }
              if (out.size() == 7) { // small pages, so that changes come between them
                more = true;
                break;
              }
              Entry value = read(e.getValue().value());
              out.add(new Item(e.getKey(), value, e.getValue().version()));
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
      Worker w = workers.get(addr);
      if (lateBy > 0 && w != null) {
        at(lateBy, () -> w.whenAwake(() -> w.orders(token, session, commands)));
        back(lateBy, () -> then.accept(new OrderReply(Code.UNKNOWN, null)));
        return;
      }
      if (w == null || w.cutFrom(this) || w.deaf) {
        if (w != null && w.cutFrom(this) && rnd.nextBoolean()) {
          // held by the cut, executed late
          at(
              1_000 + rnd.nextInt(15_000),
              () -> w.whenAwake(() -> w.orders(token, session, commands)));
          back(Constants.ORDER_TIMEOUT_MS, () -> then.accept(new OrderReply(Code.UNKNOWN, null)));
        } else {
          back(
              Constants.ORDER_TIMEOUT_MS,
              () -> then.accept(new OrderReply(w == null ? Code.REFUSED : Code.UNKNOWN, null)));
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
            () -> w.whenAwake(() -> w.orders(token, session, commands)));
        back(Constants.ORDER_TIMEOUT_MS, () -> then.accept(new OrderReply(Code.UNKNOWN, null)));
        return;
      }
      int l = life;
      at(
          delay(),
          () -> {
            if (w.hangs()) {
              heldOrders(w, token, session, commands, l, then);
              return;
            }
            if (w.mute) {
              strike("mute, ordered");
            }
            OrderReply r = w.orders(token, session, commands);
            if (l == life) {
              back(delay(), () -> then.accept(r));
            }
          });
    }

    /** Executed when the machine goes on, perhaps long after it was given up on. */
    private void heldOrders(
        Worker w,
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
      w.whenAwake(
          () -> {
            OrderReply r = w.orders(token, session, commands);
            if (r.code() == Code.OK) {
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
                  then.accept(r);
                });
          });
    }

    @Override
    public void types(Consumer<List<MachineType>> then) {
      back(20, () -> then.accept(List.of(type)));
    }

    @Override
    public void rent(RentRequest q, Consumer<RentReply> then) {
      back(
          30,
          () -> {
            List<String> got = rentals.get(q.name());
            if (got == null) {
              got = new ArrayList<>();
              while (got.size() < q.count() && workers.size() < capacity) {
                got.add(machine(q.type(), q.zone(), q.spot(), 2_000 + rnd.nextInt(6_000)));
              }
              if (!got.isEmpty()) {
                rentals.put(q.name(), got);
              }
            }
            then.accept(new RentReply(got.isEmpty() ? 503 : 200, got));
          });
    }

    @Override
    public void giveBack(List<String> machines, Consumer<Boolean> then) {
      if (machines.size() > Constants.RETURN_MAX) { // as the protocol has it
        back(30, () -> then.accept(false));
        return;
      }
      for (String m : machines) killMachine(m);
      back(30, () -> then.accept(true));
    }

    @Override
    public void listMachines(String after, Consumer<ListedReply> then) {
      List<Listed> out = new ArrayList<>();
      for (Worker w : workers.values())
        out.add(new Listed(w.id, "t8", w.zone, w.spot, "running", (now - w.born) / 1000.0));
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
    return nodes.values().stream().allMatch(n -> n.up && n.running == ClusterVersion.CURRENT);
  }

  // ---- workers ------------------------------------------------------------------------------
  String machine(String t, String zone, boolean spot, long bootMs) {
    String id = String.format("m-%06d", machineNo++);
    Worker w = new Worker(id, zone, spot);
    workers.put(id, w);
    at(
        bootMs,
        () -> {
          w.begin();
          if (!w.dead) {
            rules.machineUp(new Rules.Machine(id, t, zone, spot, type.cpus()));
          }
        });
    return id;
  }

  /** Without state service and peers, but with its workers, until {@link #rejoin}. */
  void isolate(Node h) {
    h.noState = true;
    for (Node n : nodes.values())
      if (n != h) {
        part(n, h);
      }
  }

  /** The zone is cut off from everything, its controllers too, until {@link #rejoin}. */
  void cutOff(String zone) {
    cutZone = zone;
    for (Node n : nodes.values()) {
      if (!n.zone().equals(zone)) {
        continue;
      }
      n.noState = true;
      for (Node o : nodes.values())
        if (!o.zone().equals(zone)) {
          part(n, o);
        }
    }
  }

  /** Controllers refuse each other's connections, all of them, until {@link #rejoin}. */
  void refusePeers() {
    for (Node n : nodes.values())
      for (Node o : nodes.values())
        if (n != o) {
          part(n, o);
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
      for (Node n : nodes.values()) n.noState &= !n.zone().equals(cutZone);
    }
    cutZone = null;
    for (Node n : nodes.values()) n.cut.clear();
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
          StateService.Val v = state.keys.get(key);
          return v == null ? null : new Store.Held(v.value(), v.version());
        });
  }

  /** The machine's record as the first controller that is up has it. */
  MachineRec machineRec(String id) {
    for (Node n : nodes.values())
      if (n.up) {
        return n.core.store().machine(id);
      }
    throw new IllegalStateException("no controller is up");
  }

  /** Ends a running replica as if by itself; false: it runs nowhere. */
  boolean endReplica(String job, int number, Why why) {
    for (Worker w : workers.values()) {
      for (Worker.T t : w.tasks.values()) {
        if (!t.job.equals(job) || t.task != number || t.state != TaskState.RUNNING) {
          continue;
        }
        w.exit(t, why);
        return true;
      }
    }
    return false;
  }

  void killMachine(String id) {
    Worker w = workers.remove(id);
    if (w == null) {
      return;
    }
    w.dead = true;
    rules.machineGone(id);
  }

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

    final class T {
      String job;
      int task;
      long attempt;
      TaskState state;
      Why why;
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
      for (T t : tasks.values()) t.due += more;
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
      for (Runnable r : come) r.run();
    }

    void whenAwake(Runnable r) {
      if (hangs()) {
        held.add(r);
      } else {
        r.run();
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
      for (T t : tasks.values()) rules.left(id, t.job, t.task, false);
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
      for (T t : tasks.values())
        l.add(new TaskReport(t.job, t.task, t.attempt, t.state, t.why, false));
      Double noticeS = goneAt == 0 ? null : (Double) ((goneAt - now) / 1000.0);
      return new Report(id, id, "t8", zone, spot, session, ++seq, token, noticeS, l);
    }

    void report() {
      inFlight = true;
      changed = false;
      lastReport = now;
      long mine = ++flight;
      long sent = now;
      Report r = snapshot();
      Node n = nodes.get(node);
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
                any.event(() -> any.core.report(r, a -> {}));
              }
            });
      }
      if (cutFrom(n)) {
        if (rnd.nextBoolean()) {
          at(
              1_000 + rnd.nextInt(20_000),
              () -> {
                if (n.up) {
                  n.event(() -> n.core.report(r, a -> {}));
                }
              });
        }
        return;
      }
      if (!n.up) {
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
      int l = n.life;
      at(
          delay(),
          () -> {
            if (!n.up || n.life != l) {
              if (flight == mine) {
                next();
              }
              return;
            }
            n.event(
                () ->
                    n.core.report(
                        r,
                        a ->
                            at(
                                delay() + n.lateBy,
                                () ->
                                    whenAwake(
                                        () -> {
                                          // given up on, though it hung then
                                          if (now - sent > 4_000 && flight == mine && inFlight) {
                                            next();
                                          }
                                          if (flight == mine && inFlight && !cutFrom(n) && !deaf) {
                                            answer(a, sent, r.session());
                                          }
                                        }))));
          });
    }

    boolean cutFrom(Node n) {
      return cut || cutZone != null && zone.equals(cutZone) != n.zone().equals(cutZone);
    }

    private void next() {
      inFlight = false;
      flight++;
      node = NODES.get((NODES.indexOf(node) + 1) % 3);
      lastReport = now + 1_000 - REPORT * 5 / 4;
    }

    void answer(ReportAnswer a, long sent, long forSession) {
      if (dead) {
        return;
      }
      inFlight = false;
      if (a.status() == 421 && a.reportTo() != null && !a.reportTo().equals(node)) {
        node = a.reportTo();
        lastReport = -10_000;
        return;
      }
      if (a.status() != 200) {
        next();
        return;
      }
      if (a.token() < token || forSession != session) {
        return;
      }
      if (a.token() > token) {
        token = a.token();
        changed = true;
      }
      leaseFrom = sent;
      for (Command c : a.commands()) execute(c);
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
      for (Command c : commands) execute(c);
      return new Effects.OrderReply(Effects.Code.OK, snapshot());
    }

    void execute(Command c) {
      String key = c.job() + "/" + c.task() + "#" + c.attempt();
      T t = tasks.get(key);
      switch (c.kind()) {
        case START -> {
          if (t != null) {
            return;
          }
          t = new T();
          t.job = c.job();
          t.task = c.task();
          t.attempt = c.attempt();
          tasks.put(key, t);
          changed = true;
          for (T o : tasks.values()) {
            if (o != t && o.job.equals(t.job) && o.task == t.task && o.state != TaskState.EXITED) {
              t.state = TaskState.EXITED;
              t.why = Why.BUSY;
              return;
            }
          }
          t.state = TaskState.FETCHING;
          T x = t;
          int step = ++t.step;
          progress(
              x,
              images.containsKey(c.job()) ? 1 : 500 + rnd.nextInt(2_000),
              () -> running(x, key, step));
        }
        case STOP -> {
          if (t == null || t.state == TaskState.EXITED) {
            return;
          }
          exit(t, Why.STOPPED);
        }
        case FORGET -> {
          if (t != null && t.state == TaskState.EXITED) {
            tasks.remove(key);
          }
        }
      }
    }

    private void progress(T t, long ms, Runnable then) {
      t.due = now + ms;
      at(ms, () -> atDue(t, then));
    }

    private void atDue(T t, Runnable then) {
      if (now < t.due) {
        at(t.due - now, () -> atDue(t, then));
      } else {
        then.run();
      }
    }

    void running(T t, String key, int step) {
      if (dead || tasks.get(key) != t || t.step != step || t.state != TaskState.FETCHING) {
        return;
      }
      images.put(t.job, now);
      if (completed.contains(t.job + "/" + t.task)) {
        strike("result kept");
        exit(t, Why.DONE);
        return;
      }
      t.state = TaskState.RUNNING;
      changed = true;
      rules.started(now, new Rules.OnMachine(id, t.job, t.task, "t8", zone, spot));
      if (rules.service(t.job) && !faulty) {
        if (replicaEnds > 0 && rnd.nextDouble() < replicaEnds) {
          endByChance(t, key);
        }
        return;
      }
      progress(t, faulty ? 1 : runs(t), () -> endItself(t, key, faulty ? Why.ERROR : Why.DONE));
    }

    private void endByChance(T t, String key) {
      Why why = rnd.nextBoolean() ? Why.DONE : Why.ERROR;
      strike("replica ended: " + why);
      progress(t, rnd.nextInt(20_000), () -> endItself(t, key, why));
    }

    private void endItself(T t, String key, Why why) {
      if (dead || tasks.get(key) != t || t.state != TaskState.RUNNING) {
        return;
      }
      exit(t, why);
    }

    private long runs(T t) {
      Long own = runOf.get(t.job + "/" + t.task);
      return own != null ? own : runMs > 0 ? runMs : 1_000 + rnd.nextInt(6_000);
    }

    void exit(T t, Why why) {
      boolean was = t.state == TaskState.RUNNING;
      t.state = TaskState.EXITED;
      t.why = why;
      changed = true;
      if (was) {
        rules.left(id, t.job, t.task, why == Why.DONE);
      }
      if (why == Why.DONE) {
        completed.add(t.job + "/" + t.task);
      }
      if (was && why == Why.DONE) {
        cancelAtItsEnd(t.job);
      }
    }
  }

  // ---- users --------------------------------------------------------------------------------
  final List<String> jobs = new ArrayList<>();

  JobSpec job(
      String id,
      int tasks,
      double cpus,
      Priority p,
      String team,
      boolean oneZone,
      boolean spread,
      boolean spot,
      String zone) {
    return new JobSpec(
        id,
        "c-" + p,
        team,
        p,
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
      Priority p,
      String team,
      boolean oneZone,
      boolean spread,
      boolean spot,
      String zone) {
    JobSpec batch = job(id, replicas, cpus, p, team, oneZone, spread, spot, zone);
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
  void submitAt(Node n, JobSpec j, Consumer<UserAnswer> reply) {
    if (j.service() && !n.knowsServices()) {
      n.event(() -> n.core.refuse(j.id(), "oficio must be batch", reply));
    } else {
      n.event(() -> n.core.submit(j, reply));
    }
  }

  void submit(JobSpec j) {
    rules.submitted(j);
    jobs.add(j.id());
    trySubmit(j, now + 60_000);
  }

  private void trySubmit(JobSpec j, long until) {
    if (now > until) {
      return;
    }
    Node n = nodes.get(NODES.get(rnd.nextInt(3)));
    long asked = now;
    boolean[] answered = {false};
    if (n.up) {
      submitAt(
          n,
          j,
          a -> {
            answered[0] = true;
            if (rnd.nextDouble() < loss) {
              answered[0] = false;
            } // the user doesn't get it
            else {
              rules.told(now, asked, j.id(), a.status(), a.state());
            }
            if (answered[0] && a.state() != null) {
              poll(j.id());
            } else {
              at(1_000, () -> trySubmit(j, until));
            }
          });
    }
    at(
        5_000,
        () -> {
          if (!answered[0] && now - asked >= 5_000 && rules.lastTold(j.id()) == null) {
            trySubmit(j, until);
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
    Node n = nodes.get(NODES.get(rnd.nextInt(3)));
    long asked = now;
    if (n.up) {
      n.event(() -> n.core.query(id, a -> rules.told(now, asked, id, a.status(), a.state())));
    }
    at(2_000 + rnd.nextInt(3_000), () -> poll(id));
  }

  void cancel(String id) {
    rules.asksToCancel(id);
    Node n = nodes.get(NODES.get(rnd.nextInt(3)));
    if (!n.up) {
      at(1_000, () -> cancel(id));
      return;
    }
    long asked = now;
    n.event(
        () ->
            n.core.cancel(
                id,
                a -> {
                  rules.told(now, asked, id, a.status(), a.state());
                  if (a.state() == null && a.status() != 404) {
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
      Worker w = workers.get(m);
      if (w == null || n++ >= 8) {
        continue;
      }
      strike("cancelNow, hang");
      w.hang(hangMs);
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
    Node n = nodes.get(NODES.get(rnd.nextInt(3)));
    switch (rnd.nextInt(4)) {
      case 0 -> {
        if (told.isEmpty() || !n.up) {
          return;
        }
        String id = told.get(rnd.nextInt(told.size()));
        String last = rules.lastTold(id);
        boolean over = "done".equals(last) || "cancelled".equals(last);
        strike(over ? "oddRequests, over again" : "oddRequests, again");
        long asked = now;
        submitAt(n, rules.spec(id), a -> rules.told(now, asked, id, a.status(), a.state()));
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
        if (!n.up) {
          return;
        }
        strike("oddRequests, impossible");
        boolean team = rnd.nextBoolean();
        String id = String.format("wk-9%05d", impossibleNo++);
        JobSpec j =
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
        n.event(
            () ->
                n.core.submit(
                    j,
                    a -> {
                      rules.toldImpossible(now, id, a.status());
                      at(500, () -> askFor(id));
                    }));
      }
    }
  }

  /** Ends whoever owns most machines and whoever holds most jobs, for 100 to 900 ms. */
  void changeLeaders() {
    Map<String, Integer> owned = new TreeMap<>();
    Map<String, Integer> held = new TreeMap<>();
    for (StateService.Val v : state.keys.values()) {
      if (v.value() instanceof MachineRec m) {
        owned.merge(m.node(), 1, Integer::sum);
      }
      if (v.value() instanceof GroupRec g) {
        owned.merge(g.node(), g.machines().size(), Integer::sum);
      }
      if (v.value() instanceof JobRec j && j.open()) {
        held.merge(j.holder(), 1, Integer::sum);
      }
    }
    for (Map<String, Integer> m : List.of(owned, held)) {
      Node most = null;
      for (Node n : nodes.values()) {
        if (!n.up || !m.containsKey(n.name)) {
          continue;
        }
        if (most == null || m.get(n.name) > m.get(most.name)) {
          most = n;
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
  void refusedThenOutage(Node n, long aloneMs, long outageMs) {
    strike("refusedThenOutage");
    n.noState = true;
    at(
        aloneMs,
        () -> {
          n.noState = false;
          state.outage = true;
          at(outageMs, state::recover);
        });
  }

  /** A service of more replicas than its team may run at once is asked for. */
  void askForImpossibleService() {
    Node n = nodes.get(NODES.get(rnd.nextInt(3)));
    if (!n.up) {
      return;
    }
    strike("impossible service");
    String id = String.format("wk-8%05d", impossibleNo++);
    JobSpec tooMany = service(id, 7, 4, Priority.NORMAL, "tight", false, false, true, null);
    submitAt(n, tooMany, a -> rules.toldImpossible(now, id, a.status()));
  }

  void askForNobody() {
    askFor("wk-999999");
  }

  private void askFor(String id) {
    Node n = nodes.get(NODES.get(rnd.nextInt(3)));
    if (n.up) {
      n.event(() -> n.core.query(id, a -> rules.told(now, id, a.status(), a.state())));
    }
  }

  /** A small policy: any machine, the emptiest last. */
  record TestPolicy(String name, Runnable seen) implements Policy {
    @Override
    public List<Block> blocks() {
      return List.of(
          new Block() {
            @Override
            public boolean workers(Facts f) {
              seen.run();
              return true;
            }

            @Override
            public boolean invalidate(Facts f) {
              return false;
            }

            @Override
            public Strategy strategy() {
              return Strategy.LOWEST;
            }

            @Override
            public double score(Facts f) {
              return 1 - f.used;
            }
          });
    }
  }
}
