package mallowstall.core;

import it.unimi.dsi.fastutil.objects.Object2ObjectOpenHashMap;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.function.Consumer;
import mallowstall.Constants;
import mallowstall.core.Effects.Code;
import mallowstall.core.Effects.Cond;
import mallowstall.core.Effects.GetReply;
import mallowstall.core.Effects.Item;
import mallowstall.core.Effects.Put;
import mallowstall.core.Effects.Txn;
import mallowstall.core.Effects.TxnReply;
import mallowstall.core.Model.CoreSettings;
import mallowstall.core.Model.CounterRec;
import mallowstall.core.Model.Entry;
import mallowstall.core.Model.GroupMachine;
import mallowstall.core.Model.GroupRec;
import mallowstall.core.Model.JobRec;
import mallowstall.core.Model.MachineRec;
import mallowstall.core.Model.SessionRec;
import mallowstall.core.Model.VersionRec;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * This controller's view of the state service: a mirror of all keys kept by one watch, the session
 * kept alive by one lease, and the budget that every request is paid from.
 *
 * <p>All keys stand under one prefix, so that one revision says how far the whole mirror is.
 */
final class Store {
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.state");

  static final String PREFIX = "c/";
  static final String JOBS = "c/j/";
  static final String MACHINES = "c/m/";
  static final String GROUPS = "c/g/";
  static final String SESSIONS = "c/n/";

  /** Versions without this key ignore it; it has no lease, since a node that is down keeps one. */
  static final String VERSIONS = "c/v/";

  static final String TEAMS = "c/t/";
  static final String DIGESTS = "c/d/";
  static final String BITS = "c/b/";
  static final String DUTY = "c/cloud";
  static final String COUNTER = "c/incarnations";

  /** Urgency of requests; the first is served first when the budget is short. */
  enum Urgency {
    SESSION,
    USER,
    MACHINE,
    JOB,
    BACKGROUND
  }

  /** A value of the mirror and the revision of its last change. */
  record Held(Entry value, long version) {}

  /** Hears of changes of the mirror. */
  interface Listener {
    /** A machine had this record for a while, before the one that the mirror holds already. */
    void overtaken(String machine, MachineRec record);

    /** A key changed; {@code before} is null when it is new, {@code now} when it is deleted. */
    void changed(String key, Entry before, Entry now);

    /** The watch has been answered: the mirror is fresh up to a later time. */
    void advanced();

    /** The mirror is complete again after a listing, at this revision. */
    void synced(long revision);
  }

  /** A request that waits for the rate, and what it costs of it. */
  private record Waiting(double reads, double writes, Runnable go) {}

  private final EventClock clock;
  private final CoreSettings settings;
  private final Effects effects;

  /** The key of this controller's own session. */
  private final String ownSessionKey;

  /** Told of changes; set once, before the first event. */
  private Listener listener;

  private final TreeMap<String, Held> mirror = new TreeMap<>();

  /**
   * The mirror's jobs and machines by their names. Asked for with every task on every machine: in
   * the ordered map, by a key made for the purpose, that took a quarter of all processor time.
   */
  private final Object2ObjectOpenHashMap<String, JobRec> jobs = new Object2ObjectOpenHashMap<>();

  private final Object2ObjectOpenHashMap<String, MachineRec> machines =
      new Object2ObjectOpenHashMap<>();

  /** Revision of deletions, so that an older event or listing can't bring a key back. */
  private final Object2ObjectOpenHashMap<String, Long> dropped = new Object2ObjectOpenHashMap<>();

  /**
   * Versions of machines' own entries. What the mirror holds of a machine is the newest of that and
   * of the groups that name it.
   */
  private final Object2ObjectOpenHashMap<String, Long> single = new Object2ObjectOpenHashMap<>();

  private final double requestRate;
  private final double writeRate;
  private final int nodes;
  private final Budget requests;
  private final Budget writes;
  private final List<ArrayDeque<Waiting>> queues = new ArrayList<>();

  private long revision;
  private boolean synced;
  private boolean syncing;
  private long freshAt = Long.MIN_VALUE / 2;
  private long contactAt = Long.MIN_VALUE / 2;

  private long incarnation;
  private boolean sessionPut;
  private long lease;
  private long leaseGoodUntil = Long.MIN_VALUE / 2;
  private boolean renewing;
  private long nextSessionTry;
  private long lastRenew;

  Store(EventClock clock, CoreSettings settings, Effects effects) {
    this.clock = clock;
    this.settings = settings;
    this.effects = effects;
    this.ownSessionKey = SESSIONS + settings.node();
    this.nodes = settings.peers().size() + 1;
    this.requestRate = settings.stateRps() * Constants.BUDGET_SHARE;
    this.writeRate = settings.stateWriteRps() * Constants.BUDGET_SHARE;
    this.requests = new Budget(requestRate / nodes, requestRate / nodes);
    this.writes = new Budget(writeRate / nodes, writeRate / nodes);
    for (int i = 0; i < Urgency.values().length; i++) {
      queues.add(new ArrayDeque<>());
    }
  }

  /** Sets who is told of changes; called once, before the first event. */
  void subscribe(Listener subscriber) {
    listener = subscriber;
  }

  long revision() {
    return synced ? revision : 0;
  }

  boolean synced() {
    return synced;
  }

  /** Steady time up to which the mirror surely holds every change. */
  long freshAt() {
    return freshAt;
  }

  long contactAt() {
    return contactAt;
  }

  Held held(String key) {
    return mirror.get(key);
  }

  JobRec job(String id) {
    return jobs.get(id);
  }

  MachineRec machine(String id) {
    return machines.get(id);
  }

  /** Whether the machine's record that was written at this revision has been dropped since. */
  boolean returned(String machine, long version) {
    return machine(machine) == null && version <= revision();
  }

  /** The version to compare with when the key is written. */
  long version(String key) {
    if (key.startsWith(MACHINES)) {
      return single.getOrDefault(key, 0L);
    }
    Held stored = mirror.get(key);
    return stored == null ? 0 : stored.version();
  }

  /** Whether a group names the machine: then its end must be written, not only dropped. */
  boolean grouped(String id) {
    for (Held stored : under(GROUPS).values()) {
      for (GroupMachine member : ((GroupRec) stored.value()).machines()) {
        if (member.id().equals(id)) {
          return true;
        }
      }
    }
    return false;
  }

  /** Groups of which every machine has a newer record, or none any more. */
  List<String> spentGroups() {
    List<String> out = new ArrayList<>();
    under(GROUPS)
        .forEach(
            (key, stored) -> {
              for (GroupMachine member : ((GroupRec) stored.value()).machines()) {
                Held now = mirror.get(MACHINES + member.id());
                if (now != null && now.version() <= stored.version()) {
                  return;
                }
              }
              out.add(key);
            });
    return out;
  }

  java.util.SortedMap<String, Held> under(String prefix) {
    return mirror.subMap(prefix, prefix + Character.MAX_VALUE);
  }

  boolean live(String node, long inc) {
    Held stored = mirror.get(SESSIONS + node);
    return stored != null && ((SessionRec) stored.value()).incarnation() == inc;
  }

  boolean live(String node) {
    return mirror.containsKey(SESSIONS + node);
  }

  long incarnation() {
    return incarnation;
  }

  long leaseId() {
    return lease;
  }

  /**
   * The mirror shows another session under this controller's name, or none. A change that a former
   * process asked for may be carried out late, in place of this one's entry, and go with its own
   * lease: this process then renewed a lease that held nothing, and everybody took it for dead.
   */
  private void ownSession(SessionRec now) {
    if (!sessionPut || (now != null && now.incarnation() == incarnation)) {
      return;
    }
    LOG.info("session entry replaced or gone, incarnation {}", incarnation);
    sessionPut = false;
  }

  /** Milliseconds for which this controller's session surely lasts; not positive: none. */
  long sessionLeft() {
    return sessionPut ? leaseGoodUntil - clock.now() : -1;
  }

  boolean sessionGood() {
    return sessionLeft() > 0;
  }

  // ---- budget -------------------------------------------------------------------------------
  /** Requests waiting, for the Retry-After of refusals. */
  int backlog() {
    int n = 0;
    for (ArrayDeque<Waiting> queue : queues) {
      n += queue.size();
    }
    return n;
  }

  int retryAfterS() {
    int s = Constants.RETRY_MIN_S + backlog() / 20;
    return Math.min(Constants.RETRY_MAX_S, s);
  }

  private boolean admit(Urgency urgency, double reads, double puts, Runnable go) {
    if (urgency != Urgency.SESSION && backlog() >= Constants.STATE_BACKLOG) {
      return false;
    }
    queues.get(urgency.ordinal()).add(new Waiting(reads, puts, go));
    pump();
    return true;
  }

  void pump() {
    long now = clock.now();
    for (Urgency urgency : Urgency.values()) {
      ArrayDeque<Waiting> queue = queues.get(urgency.ordinal());
      double reserve = urgency == Urgency.SESSION ? -100 : urgency == Urgency.BACKGROUND ? 4 : 0;
      // a large transaction may have overdrawn a low rate for seconds: sessions don't wait for that
      double writeReserve =
          urgency == Urgency.SESSION ? -100 : urgency == Urgency.BACKGROUND ? 3 : 0;
      while (!queue.isEmpty()) {
        Waiting waiting = queue.peek();
        if (!requests.has(now, waiting.reads, reserve)) {
          return;
        }
        if (waiting.writes > 0 && !writes.has(now, waiting.writes, writeReserve)) {
          break;
        }
        queue.poll();
        requests.spend(now, waiting.reads);
        if (waiting.writes > 0) {
          writes.spend(now, waiting.writes);
        }
        waiting.go.run();
      }
    }
  }

  /** A transaction whose success is taken into the mirror at once. */
  boolean transact(Urgency urgency, Txn txn, Consumer<TxnReply> then) {
    double n = txn.puts().size() + txn.drops().size();
    return admit(
        urgency,
        1,
        n,
        () -> {
          long sent = clock.now();
          effects.transact(
              txn,
              reply -> {
                contact(reply.code(), sent);
                if (reply.code() == Code.OK) {
                  for (Put put : txn.puts()) {
                    apply(new Item(put.key(), put.value(), reply.revision()));
                  }
                  for (String k : txn.drops()) {
                    apply(new Item(k, null, reply.revision()));
                  }
                }
                then.accept(reply);
              });
        });
  }

  /** A read made after this call; the mirror learns from it. */
  boolean read(Urgency urgency, String key, Consumer<GetReply> then) {
    return admit(
        urgency,
        1,
        0,
        () ->
            effects.get(
                key,
                r -> {
                  contact(r.code(), clock.now());
                  if (r.code() == Code.OK && r.item().value() != null) {
                    apply(r.item());
                  }
                  then.accept(r);
                }));
  }

  private void contact(Code code, long at) {
    if (code == Code.OK || code == Code.CONFLICT || code == Code.NO_LEASE || code == Code.GONE) {
      contactAt = at;
    }
  }

  // ---- mirror -------------------------------------------------------------------------------
  void apply(Item item) {
    if (item.value() instanceof GroupRec group) {
      for (GroupMachine member : group.machines()) {
        MachineRec record =
            new MachineRec(
                group.node(),
                group.incarnation(),
                item.version(),
                member.type(),
                member.zone(),
                member.spot());
        put(MACHINES + member.id(), record, item.version());
      }
    } else if (item.key().startsWith(MACHINES)) {
      long known = single.getOrDefault(item.key(), 0L);
      if (item.version() <= known) {
        return;
      }
      if (item.value() == null) {
        single.remove(item.key());
      } else {
        single.put(item.key(), (Long) item.version());
      }
      MachineRec machineRecord = (MachineRec) item.value();
      boolean returned = machineRecord == null || machineRecord.node().isEmpty();
      put(item.key(), returned ? null : machineRecord.withToken(item.version()), item.version());
      return;
    }
    put(item.key(), item.value(), item.version());
  }

  private void put(String key, Entry value, long version) {
    Held old = mirror.get(key);
    if (old != null && old.version() >= version) {
      if (old.version() > version && value instanceof MachineRec record) {
        listener.overtaken(key.substring(MACHINES.length()), record);
      }
      return;
    }
    Long gone = dropped.get(key);
    if (gone != null && gone >= version) {
      return;
    }
    if (value == null) {
      dropped.put(key, (Long) version);
      if (dropped.size() > 20_000) {
        dropped.clear();
      }
      if (old != null) {
        mirror.remove(key);
        if (key.startsWith(JOBS)) {
          jobs.remove(key.substring(JOBS.length()));
        } else if (key.startsWith(MACHINES)) {
          machines.remove(key.substring(MACHINES.length()));
        }
        notifyChange(key, old.value(), null);
      }
      return;
    }
    mirror.put(key, new Held(value, version));
    if (value instanceof JobRec job) {
      jobs.put(key.substring(JOBS.length()), job);
    } else if (value instanceof MachineRec machineRecord) {
      machines.put(key.substring(MACHINES.length()), machineRecord);
    }
    notifyChange(key, old == null ? null : old.value(), value);
  }

  private void notifyChange(String key, Entry before, Entry after) {
    if (key.equals(ownSessionKey)) {
      ownSession((SessionRec) after);
    }
    listener.changed(key, before, after);
  }

  private void sync() {
    if (syncing) {
      return;
    }
    syncing = true;
    listFrom(null, 0, new java.util.HashSet<>(), clock.now());
  }

  private void listFrom(
      String after, long firstRevision, java.util.HashSet<String> seen, long began) {
    requests.spend(clock.now(), 1);
    effects.list(
        after,
        r -> {
          contact(r.code(), clock.now());
          if (r.code() != Code.OK) {
            clock.schedule(
                Constants.STATE_RETRY_MS, () -> listFrom(after, firstRevision, seen, began));
            return;
          }
          long first = after == null ? r.revision() : firstRevision;
          String last = after;
          for (Item item : r.items()) {
            apply(item);
            seen.add(item.key());
            if (item.value() instanceof GroupRec group) {
              for (GroupMachine member : group.machines()) {
                seen.add(MACHINES + member.id());
              }
            }
            last = item.key();
          }
          if (r.more() && last != null) {
            listFrom(last, first, seen, began);
            return;
          }
          // what was deleted while no watch ran
          for (String k : new ArrayList<>(mirror.keySet())) {
            if (!seen.contains(k) && mirror.get(k).version() <= first) {
              apply(new Item(k, null, first));
            }
          }
          revision = first;
          freshAt = began;
          syncing = false;
          synced = true;
          listener.synced(revision);
          watchOn();
        });
  }

  private void watchOn() {
    long sent = clock.now();
    requests.spend(sent, 1);
    effects.watch(
        revision,
        Constants.WATCH_HOLD_MS,
        r -> {
          contact(r.code(), clock.now());
          if (r.code() == Code.GONE) {
            synced = false;
            sync();
            return;
          }
          if (r.code() != Code.OK) {
            clock.schedule(Constants.STATE_RETRY_MS, this::watchOn);
            return;
          }
          for (Item item : r.events()) {
            apply(item);
          }
          revision = Math.max(revision, r.revision());
          freshAt = Math.max(freshAt, sent);
          listener.advanced();
          clock.schedule(Constants.WATCH_PAUSE_MS, this::watchOn);
        });
  }

  // ---- session ------------------------------------------------------------------------------
  void tick() {
    long now = clock.now();
    // those that live share the limits: the machines of a dead controller come all at once
    int live = synced ? Math.max(1, Math.min(nodes, under(SESSIONS).size())) : nodes;
    requests.rate(now, requestRate / live);
    writes.rate(now, writeRate / live);
    if (incarnation == 0) {
      if (!renewing && now >= nextSessionTry) {
        obtainIncarnation();
      }
    } else if (lease == 0) {
      if (!renewing && now >= nextSessionTry) {
        obtainLease();
      }
    } else if (!sessionPut) {
      if (!renewing && now >= nextSessionTry) {
        putSession();
      }
    } else if (!renewing && now - lastRenew >= Constants.RENEW_EVERY_MS && now >= nextSessionTry) {
      renew();
    }
    pump();
  }

  private void failed() {
    renewing = false;
    nextSessionTry = clock.now() + Constants.STATE_RETRY_MS;
  }

  /** Incarnations come from a counter that is never set back, so no process shares one. */
  private void obtainIncarnation() {
    renewing = true;
    read(
        Urgency.SESSION,
        COUNTER,
        getReply -> {
          if (getReply.code() != Code.OK) {
            failed();
            return;
          }
          long next =
              getReply.item().value() == null
                  ? 1
                  : ((CounterRec) getReply.item().value()).value() + 1;
          transact(
              Urgency.SESSION,
              new Txn(
                  List.of(new Cond(COUNTER, getReply.item().version())),
                  List.of(new Put(COUNTER, new CounterRec(next), 0)),
                  List.of()),
              reply -> {
                if (reply.code() != Code.OK) {
                  failed();
                  return;
                }
                incarnation = next;
                renewing = false;
                tick();
              });
        });
  }

  private void obtainLease() {
    renewing = true;
    long sent = clock.now();
    requests.spend(sent, 1);
    effects.grantLease(
        Constants.SESSION_TTL_MS,
        reply -> {
          contact(reply.code(), sent);
          if (reply.code() != Code.OK) {
            failed();
            return;
          }
          lease = reply.lease();
          lastRenew = sent;
          good(sent);
          renewing = false;
          tick();
        });
  }

  private void good(long sent) {
    // counted from when the request was sent, less drift: the service can't have ended it earlier
    leaseGoodUntil =
        Math.max(
            leaseGoodUntil,
            sent
                + (long) (Constants.SESSION_TTL_MS * (1 - 2 * Constants.DRIFT))
                - Constants.SESSION_MARGIN_MS);
  }

  /** Compared with what was read, so that one that is carried out late replaces no later one. */
  private void putSession() {
    renewing = true;
    read(
        Urgency.SESSION,
        SESSIONS + settings.node(),
        reply -> {
          if (reply.code() == Code.OK) {
            putSession(reply.item().version());
          } else {
            failed();
          }
        });
  }

  private void putSession(long version) {
    List<Put> puts = new ArrayList<>();
    puts.add(
        new Put(SESSIONS + settings.node(), new SessionRec(settings.node(), incarnation), lease));
    int programVersion = settings.programVersion();
    if (programVersion > ProgramVersion.UNKNOWN) {
      VersionRec shown = new VersionRec(settings.node(), incarnation, programVersion);
      puts.add(new Put(VERSIONS + settings.node(), shown, 0));
    }
    transact(
        Urgency.SESSION,
        new Txn(List.of(new Cond(SESSIONS + settings.node(), version)), puts, List.of()),
        reply -> {
          if (reply.code() == Code.NO_LEASE) {
            lease = 0;
            failed();
            return;
          }
          if (reply.code() != Code.OK) {
            failed();
            return;
          }
          renewing = false;
          sessionPut = true;
          LOG.info("session up, incarnation {}", incarnation);
          if (!synced) {
            sync();
          }
        });
  }

  private void renew() {
    renewing = true;
    long sent = clock.now();
    requests.spend(sent, 1);
    effects.renewLease(
        lease,
        reply -> {
          contact(reply.code(), sent);
          renewing = false;
          if (reply.code() == Code.OK) {
            lastRenew = sent;
            good(sent);
          } else if (reply.code() == Code.GONE) {
            LOG.info("session lost, incarnation {}", incarnation);
            lease = 0;
            sessionPut = false;
          } else {
            failed();
          }
        });
  }
}
