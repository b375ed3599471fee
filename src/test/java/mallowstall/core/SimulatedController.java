package mallowstall.core;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import mallowstall.Constants;
import mallowstall.core.Model.Command;
import mallowstall.core.Model.CoreSettings;
import mallowstall.core.Model.Entry;
import mallowstall.core.Model.Final;
import mallowstall.core.Model.JobRec;
import mallowstall.core.Model.Listed;
import mallowstall.core.Model.MachineRec;
import mallowstall.core.Model.MachineType;
import mallowstall.core.Model.PeerMessage;
import mallowstall.core.Model.RentRequest;
import mallowstall.core.Model.Roster;
import mallowstall.core.Model.Stops;

/** A controller, and the world as it sees it. */
final class SimulatedController implements Effects {
  private final Simulation sim;
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

  /** Statements sent to peers, and the machines told in them. */
  int statementsSent;

  int machinesTold;

  /** Changes of single machines' records that are unanswered, and the most there were. */
  private int recordsOpen;

  int mostRecordsOpen;

  /** It stands still from its next event on for so many ms, while its clocks run on. */
  long freezeFor;

  private long frozenUntil;

  /** What the event under way decides leaves only so much later. */
  long lateBy;

  /** ms of its processor that each event takes; events wait for those before them. */
  long stepMs;

  private long busyUntil;
  private boolean tickWaits;

  /** The longest that an event has waited. */
  long longestWait;

  final double drift;
  final long skew;
  final Map<String, Long> connection = new HashMap<>();
  final Map<String, Long> lastArrival = new HashMap<>();
  final Map<String, Boolean> cut = new HashMap<>();
  long connections;

  SimulatedController(Simulation sim, String name, int programVersion) {
    this.sim = sim;
    this.name = name;
    this.installed = programVersion;
    this.drift = sim.rnd.nextDouble() * 0.0004;
    this.skew = sim.rnd.nextInt(40) - 20;
    boot();
  }

  void boot() {
    life++;
    up = true;
    running = installed;
    frozenUntil = 0;
    busyUntil = 0;
    tickWaits = false;
    recordsOpen = 0; // answers to a former process are lost
    connections = 0;
    List<String> peers = new ArrayList<>(Simulation.NODES);
    peers.remove(name);
    core =
        new Core(
            new CoreSettings(
                name,
                peers,
                Simulation.ZONES,
                sim.teams,
                Simulation.REPORT,
                Simulation.LEASE,
                Simulation.CANCEL,
                25,
                300,
                sim.kept.changesPerSecond(),
                sim.kept.txnOps(),
                sim.kept.valueBytes(),
                5,
                2_000,
                Map.of(),
                running),
            sim.recorder.effects(this, this),
            c -> new Simulation.TestPolicy(c, () -> sim.evaluations++),
            new Metrics() {
              @Override
              public void count(String what) {}

              @Override
              public void time(String what, long ms) {}
            },
            sim.rnd.nextLong());
    for (String p : peers) {
      sim.at(20, () -> connect(p));
    }
    int l = life;
    sim.at(5, () -> tick(l));
  }

  /** The simulated time. */
  long now() {
    return sim.now;
  }

  String zone() {
    return Simulation.ZONES.get(name);
  }

  void crash(long downMs) {
    up = false;
    life++;
    connection.clear();
    sim.at(downMs, this::boot);
  }

  boolean knowsServices() {
    return running >= ProgramVersion.WITH_SERVICES;
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
    return job.spec().service() ? Simulation.asBatch(job) : job;
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
    sim.ticks++;
    if (sim.now >= frozenUntil && !tickWaits) {
      tickWaits = true;
      event(
          () -> {
            tickWaits = false;
            core.tick();
          });
    }
    sim.at(Constants.TICK_MS, () -> tick(l));
  }

  void event(Runnable action) {
    if (!up) {
      return;
    }
    long start = Math.max(sim.now, busyUntil);
    if (stepMs > 0) {
      busyUntil = start + stepMs;
      longestWait = Math.max(longestWait, start - sim.now);
    }
    if (start == sim.now) {
      step(action);
      return;
    }
    int l = life;
    sim.at(
        start - sim.now,
        () -> {
          if (up && l == life) {
            step(action);
          }
        });
  }

  private void step(Runnable action) {
    int l = life;
    if (sim.now < frozenUntil) {
      // lies unread until it wakes
      sim.at(
          frozenUntil - sim.now,
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
      frozenUntil = sim.now + freezeFor;
      freezeFor = 0;
    }
    core.time((long) (sim.now * (1 + drift)), 1_700_000_000_000L + sim.now + skew);
    action.run();
    core.settle();
    lateBy = 0;
    if (core.nextTimer() != Long.MAX_VALUE) {
      sim.at(
          Math.max(1, core.nextTimer() - (long) (sim.now * (1 + drift))),
          () -> {
            if (l == life && sim.now >= frozenUntil) {
              core.time((long) (sim.now * (1 + drift)), 1_700_000_000_000L + sim.now + skew);
              core.settle();
            }
          });
    }
  }

  private void back(long delay, Runnable action) {
    int l = life;
    sim.at(
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
    if (Boolean.TRUE.equals(cut.get(peer))
        || !sim.nodes.containsKey(peer)
        || !sim.nodes.get(peer).up) {
      int l = life;
      sim.at(
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
    sim.at(
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
    } else if (message instanceof Roster statement) {
      statementsSent++;
      machinesTold += statement.machines().size();
    }
    if (!connection.containsKey(node)) {
      return;
    }
    SimulatedController other = sim.nodes.get(node);
    int l = other.life;
    if (message instanceof Roster && sim.rnd.nextDouble() < sim.rosterChaos) {
      boolean lost = sim.rnd.nextBoolean();
      sim.at(
          sim.rnd.nextInt(6_000),
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
    long when = Math.max(sim.now + lateBy + sim.delay() / 2, lastArrival.getOrDefault(node, 0L));
    if (Boolean.TRUE.equals(cut.get(node))) {
      when =
          Math.max(when, sim.now + (sim.heldMs > 0 ? sim.heldMs : 2_000 + sim.rnd.nextInt(8_000)));
    }
    lastArrival.put(node, when);
    sim.at(
        when - sim.now,
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
      sim.at(lateBy, exec::get);
      back(lateBy, () -> then.accept(unknown));
      return;
    }
    if (sim.state.outage || noState) {
      back(5, () -> then.accept(refused));
      return;
    }
    double dice = sim.rnd.nextDouble();
    if (dice < sim.loss / 3) { // never arrives
      back(Constants.STATE_TIMEOUT_MS, () -> then.accept(unknown));
    } else if (dice < sim.loss * 2 / 3) { // executed, the answer is lost
      sim.at(sim.delay(), exec::get);
      back(Constants.STATE_TIMEOUT_MS, () -> then.accept(unknown));
    } else if (dice < sim.loss) { // executed late
      sim.at(500 + sim.rnd.nextInt(4_000), exec::get);
      back(Constants.STATE_TIMEOUT_MS, () -> then.accept(unknown));
    } else {
      long d = sim.delay();
      int l = life;
      if (sim.slowState > 0) {
        slowly(exec, unknown, then);
        return;
      }
      sim.at(
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
    sim.strike("slowState");
    int whole = slowness();
    int l = life;
    boolean late = whole > Constants.STATE_TIMEOUT_MS;
    if (late) {
      back(Constants.STATE_TIMEOUT_MS, () -> then.accept(unknown));
    }
    int before = sim.rnd.nextInt(whole);
    sim.at(
        before,
        () -> {
          T task = exec.get();
          if (!late && l == life) {
            back(whole - before, () -> then.accept(task));
          }
        });
  }

  private int slowness() {
    return 300 + sim.rnd.nextInt(Math.max(1, sim.slowState - 300));
  }

  @Override
  public void transact(Txn txn, Consumer<TxnReply> reply) {
    boolean record = txn.puts().stream().anyMatch(put -> put.value() instanceof MachineRec);
    Consumer<TxnReply> counted = record ? countRecord(reply) : reply;
    if (record && recordsLate > 0) {
      transactNow(txn, result -> back(recordsLate, () -> counted.accept(result)));
    } else {
      transactNow(txn, counted);
    }
  }

  private Consumer<TxnReply> countRecord(Consumer<TxnReply> reply) {
    recordsOpen++;
    mostRecordsOpen = Math.max(mostRecordsOpen, recordsOpen);
    return result -> {
      recordsOpen--;
      reply.accept(result);
    };
  }

  private void transactNow(Txn txn, Consumer<TxnReply> then) {
    if (atNextClaim != null && claims(txn)) {
      Runnable meeting = atNextClaim;
      atNextClaim = null;
      sim.strike("claim");
      sim.at(0, meeting);
    }
    boolean served = !sim.state.outage && !noState && lateBy == 0;
    if (served && sim.lateWrites > 0 && sim.rnd.nextDouble() < sim.lateWrites) {
      sim.strike("lateWrites");
      sim.at(
          2_000 + sim.rnd.nextInt(10_000),
          () -> {
            if (!sim.state.outage && sim.state.transact(txn).code() == Code.OK) {
              sim.strike("lateWrites, applied");
            }
          });
      back(Constants.STATE_TIMEOUT_MS, () -> then.accept(new TxnReply(Code.UNKNOWN, 0)));
      return;
    }
    ask(
        () -> sim.state.transact(txn),
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
      SimulatedStateService.Val present = sim.state.keys.get(put.key());
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
    return Simulation.size(value);
  }

  @Override
  public void get(String key, Consumer<GetReply> then) {
    ask(
        () -> {
          sim.state.expire();
          SimulatedStateService.Val stored = sim.state.keys.get(key);
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
          sim.state.expire();
          List<Item> out = new ArrayList<>();
          boolean more = false;
          for (Map.Entry<String, SimulatedStateService.Val> entry :
              sim.state.keys.tailMap(after == null ? "" : after, false).entrySet()) {
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
          return new ListReply(Code.OK, out, more, sim.state.revision);
        },
        new ListReply(Code.REFUSED, List.of(), false, 0),
        new ListReply(Code.REFUSED, List.of(), false, 0),
        then);
  }

  @Override
  public void watch(long after, long holdMs, Consumer<WatchReply> then) {
    int l = life;
    long until = sim.now + holdMs;
    sim.at(sim.delay(), () -> look(after, until, l, then));
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
    if (!sim.state.outage && !noState && !watchStopped) {
      sim.state.expire();
      List<Item> out = new ArrayList<>();
      for (int i = sim.state.changes.size() - 1;
          i >= 0 && sim.state.changes.get(i).version() > after;
          i--) {
        Item change = sim.state.changes.get(i);
        if (!sees(change.key(), change.value())) {
          continue;
        }
        out.add(0, new Item(change.key(), read(change.value()), change.version()));
      }
      if (!out.isEmpty() || sim.now >= until) {
        long rev = sim.state.revision;
        long d = sim.delay() + lag + (sim.slowState > 0 ? slowness() : 0);
        if (sim.now + d > until + Constants.STATE_TIMEOUT_MS && sim.slowState > 0) {
          back(d, () -> then.accept(new WatchReply(Code.UNKNOWN, List.of(), 0)));
          return;
        }
        back(d, () -> then.accept(new WatchReply(Code.OK, out, rev)));
        return;
      }
    } else if (sim.now > until + Constants.STATE_TIMEOUT_MS) {
      back(1, () -> then.accept(new WatchReply(Code.REFUSED, List.of(), 0)));
      return;
    }
    sim.at(20, () -> look(after, until, l, then));
  }

  @Override
  public void grantLease(long ttlMs, Consumer<LeaseReply> then) {
    ask(
        () -> {
          long l = ++sim.state.leaseNo;
          sim.state.leases.put(l, sim.now + ttlMs);
          sim.state.ttls.put(l, ttlMs);
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
          sim.state.expire();
          if (!sim.state.leases.containsKey(lease)) {
            return new LeaseReply(Code.GONE, lease);
          }
          sim.state.leases.put(lease, sim.now + sim.state.ttls.get(lease));
          return new LeaseReply(Code.OK, lease);
        },
        new LeaseReply(Code.REFUSED, lease),
        new LeaseReply(Code.UNKNOWN, lease),
        then);
  }

  @Override
  public void order(
      String addr, long token, long session, List<Command> commands, Consumer<OrderReply> then) {
    SimulatedWorker worker = sim.workers.get(addr);
    if (lateBy > 0 && worker != null) {
      sim.at(lateBy, () -> worker.whenAwake(() -> worker.orders(token, session, commands)));
      back(lateBy, () -> then.accept(new OrderReply(Code.UNKNOWN, null)));
      return;
    }
    if (worker == null || worker.cutFrom(this) || worker.deaf) {
      if (worker != null && worker.cutFrom(this) && sim.rnd.nextBoolean()) {
        // held by the cut, executed late
        sim.at(
            1_000 + sim.rnd.nextInt(15_000),
            () -> worker.whenAwake(() -> worker.orders(token, session, commands)));
        back(Constants.ORDER_TIMEOUT_MS, () -> then.accept(new OrderReply(Code.UNKNOWN, null)));
      } else {
        back(
            Constants.ORDER_TIMEOUT_MS,
            () -> then.accept(new OrderReply(worker == null ? Code.REFUSED : Code.UNKNOWN, null)));
      }
      return;
    }
    double dice = sim.rnd.nextDouble();
    if (sim.strayOrders) {
      sim.strayed++;
      dice = 0;
    }
    if (dice < sim.loss || sim.strayOrders) {
      sim.at(
          !sim.strayOrders && dice < sim.loss / 2 ? sim.delay() : 500 + sim.rnd.nextInt(20_000),
          () -> worker.whenAwake(() -> worker.orders(token, session, commands)));
      back(Constants.ORDER_TIMEOUT_MS, () -> then.accept(new OrderReply(Code.UNKNOWN, null)));
      return;
    }
    int l = life;
    sim.at(
        sim.delay(),
        () -> {
          if (worker.hangs()) {
            heldOrders(worker, token, session, commands, l, then);
            return;
          }
          if (worker.mute) {
            sim.strike("mute, ordered");
          }
          OrderReply reply = worker.orders(token, session, commands);
          if (l == life) {
            back(sim.delay(), () -> then.accept(reply));
          }
        });
  }

  /** Executed when the machine goes on, perhaps long after it was given up on. */
  private void heldOrders(
      SimulatedWorker worker,
      long token,
      long session,
      List<Command> commands,
      int l,
      Consumer<OrderReply> then) {
    sim.strike("hang, ordered");
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
            sim.strike("hang, held orders executed");
          }
          if (l != life) {
            return;
          }
          back(
              sim.delay(),
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
    back(20, () -> then.accept(List.of(sim.type)));
  }

  @Override
  public void rent(RentRequest request, Consumer<RentReply> then) {
    back(
        30,
        () -> {
          List<String> got = sim.rentals.get(request.name());
          if (got == null) {
            got = new ArrayList<>();
            while (got.size() < request.count() && sim.workers.size() < sim.capacity) {
              got.add(
                  sim.machine(
                      request.type(),
                      request.zone(),
                      request.spot(),
                      2_000 + sim.rnd.nextInt(6_000)));
            }
            if (!got.isEmpty()) {
              sim.rentals.put(request.name(), got);
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
      sim.killMachine(m);
    }
    back(30, () -> then.accept(true));
  }

  @Override
  public void listMachines(String after, Consumer<ListedReply> then) {
    List<Listed> out = new ArrayList<>();
    for (SimulatedWorker worker : sim.workers.values()) {
      out.add(
          new Listed(
              worker.id,
              "t8",
              worker.zone,
              worker.spot,
              "running",
              (sim.now - worker.born) / 1000.0));
    }
    sim.at(2_000, () -> {});
    back(2_000, () -> then.accept(new ListedReply(true, out, false)));
  }
}
