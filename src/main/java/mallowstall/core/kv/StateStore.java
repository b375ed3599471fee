package mallowstall.core.kv;

import it.unimi.dsi.fastutil.objects.Object2ObjectOpenHashMap;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import mallowstall.Constants;
import mallowstall.core.kernel.Condition;
import mallowstall.core.kernel.Effects;
import mallowstall.core.kernel.EventClock;
import mallowstall.core.kernel.GetResult;
import mallowstall.core.kernel.KeyValue;
import mallowstall.core.kernel.PutOperation;
import mallowstall.core.kernel.ResultCode;
import mallowstall.core.kernel.TokenBucket;
import mallowstall.core.kernel.Transaction;
import mallowstall.core.kernel.TransactionResult;
import mallowstall.core.model.CoreSettings;
import mallowstall.core.model.IncarnationCounterEntry;
import mallowstall.core.model.JobEntry;
import mallowstall.core.model.MachineEntry;
import mallowstall.core.model.MachineGroupEntry;
import mallowstall.core.model.MachineGroupMember;
import mallowstall.core.model.ProgramVersion;
import mallowstall.core.model.SessionEntry;
import mallowstall.core.model.StoredEntry;
import mallowstall.core.model.VersionEntry;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * This controller's view of the state service: a mirror of all keys kept by one watch, the session
 * kept alive by one lease, and the budget that every request is paid from.
 *
 * <p>All keys stand under one prefix, so that one revision says how far the whole mirror is.
 */
public final class StateStore {
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.state");

  static final String KEY_PREFIX = "c/";
  public static final String JOB_PREFIX = "c/j/";
  public static final String MACHINE_PREFIX = "c/m/";
  public static final String MACHINE_GROUP_PREFIX = "c/g/";
  public static final String SESSION_PREFIX = "c/n/";

  /** Versions without this key ignore it; it has no lease, since a node that is down keeps one. */
  public static final String VERSION_PREFIX = "c/v/";

  public static final String TEAM_PREFIX = "c/t/";
  public static final String DIGEST_PREFIX = "c/d/";
  static final String COMPLETION_BITS_PREFIX = "c/b/";
  public static final String AUTOSCALER_LEADER_KEY = "c/cloud";
  static final String INCARNATION_COUNTER_KEY = "c/incarnations";

  /** Urgency of requests; the first is served first when the budget is short. */
  public enum Urgency {
    SESSION,
    USER,
    MACHINE,
    JOB,
    BACKGROUND
  }

  /** A value of the mirror and the revision of its last change. */
  public record Held(StoredEntry value, long modRevision) {}

  /** Hears of changes of the mirror. */
  interface Listener {
    /** A machine had this record for a while, before the one that the mirror holds already. */
    void machineEntrySuperseded(String machine, MachineEntry entry);

    /** A key changed; {@code before} is null when it is new, {@code now} when it is deleted. */
    void entryChanged(String key, StoredEntry before, StoredEntry after);

    /** The watch has been answered: the mirror is fresh up to a later time. */
    void advanced();

    /** The mirror is complete again after a listing, at this revision. */
    void replicaSynced(long revision);
  }

  /** A request that waits for the rate, and what it costs of it. */
  private record Waiting(double reads, double writes, Runnable action) {}

  private final EventClock clock;
  private final CoreSettings settings;
  private final Effects effects;

  /** The key of this controller's own session. */
  private final String ownSessionKey;

  /** Told of changes; set once, before the first event. */
  private Listener listener;

  private final TreeMap<String, Held> replica = new TreeMap<>();

  /**
   * The mirror's jobs and machines by their names. Asked for with every task on every machine: in
   * the ordered map, by a key made for the purpose, that took a quarter of all processor time.
   */
  private final Object2ObjectOpenHashMap<String, JobEntry> jobs = new Object2ObjectOpenHashMap<>();

  private final Object2ObjectOpenHashMap<String, MachineEntry> machines =
      new Object2ObjectOpenHashMap<>();

  /** Revision of deletions, so that an older event or listing can't bring a key back. */
  private final Object2ObjectOpenHashMap<String, Long> tombstones =
      new Object2ObjectOpenHashMap<>();

  /**
   * Versions of machines' own entries. What the mirror holds of a machine is the newest of that and
   * of the groups that name it.
   */
  private final Object2ObjectOpenHashMap<String, Long> machineEntryRevisions =
      new Object2ObjectOpenHashMap<>();

  private final double requestsPerS;
  private final double writesPerS;
  private final int controllerCount;
  private final TokenBucket requestBucket;
  private final TokenBucket writeBucket;
  private final List<ArrayDeque<Waiting>> queues = new ArrayList<>();

  private long revision;
  private boolean synced;
  private boolean syncing;
  private long freshAtMs = Long.MIN_VALUE / 2;
  private long lastContactMs = Long.MIN_VALUE / 2;

  private long incarnation;
  private boolean sessionRegistered;
  private long leaseId;
  private long leaseValidUntilMs = Long.MIN_VALUE / 2;
  private boolean sessionRequestPending;
  private long nextSessionAttemptMs;
  private long lastRenewalMs;

  /** Wires this module to the ones that it uses; it does nothing before its first event. */
  public StateStore(EventClock clock, CoreSettings settings, Effects effects) {
    this.clock = clock;
    this.settings = settings;
    this.effects = effects;
    this.ownSessionKey = SESSION_PREFIX + settings.node();
    this.controllerCount = settings.peers().size() + 1;
    this.requestsPerS = settings.stateRequestsPerS() * Constants.STATE_RATE_FRACTION;
    this.writesPerS = settings.stateWritesPerS() * Constants.STATE_RATE_FRACTION;
    this.requestBucket =
        new TokenBucket(requestsPerS / controllerCount, requestsPerS / controllerCount);
    this.writeBucket = new TokenBucket(writesPerS / controllerCount, writesPerS / controllerCount);
    for (int i = 0; i < Urgency.values().length; i++) {
      queues.add(new ArrayDeque<>());
    }
  }

  /** Sets who is told of changes; called once, before the first event. */
  public void subscribe(Listener subscriber) {
    listener = subscriber;
  }

  /** The revision up to which the replica has followed the state service. */
  public long revision() {
    return synced ? revision : 0;
  }

  /** Whether the replica is complete and being watched. */
  public boolean synced() {
    return synced;
  }

  /** Steady time up to which the mirror surely holds every change. */
  public long freshAtMs() {
    return freshAtMs;
  }

  /** Steady time in ms of the newest request that the state service served. */
  public long lastContactMs() {
    return lastContactMs;
  }

  /** The value of a key with its revision; null: the key does not exist. */
  public Held entry(String key) {
    return replica.get(key);
  }

  /** The entry of a job; null: none is known. */
  public JobEntry job(String id) {
    return jobs.get(id);
  }

  /** The entry of a machine; null: none, or it was returned. */
  public MachineEntry machine(String id) {
    return machines.get(id);
  }

  /** Whether the machine's record that was written at this revision has been dropped since. */
  public boolean returned(String machine, long version) {
    return machine(machine) == null && version <= revision();
  }

  /** The version to compare with when the key is written. */
  public long modRevision(String key) {
    if (key.startsWith(MACHINE_PREFIX)) {
      return machineEntryRevisions.getOrDefault(key, 0L);
    }
    Held stored = replica.get(key);
    return stored == null ? 0 : stored.modRevision();
  }

  /** Whether a group names the machine: then its end must be written, not only dropped. */
  public boolean isInMachineGroup(String id) {
    for (Held stored : entriesUnder(MACHINE_GROUP_PREFIX).values()) {
      for (MachineGroupMember member : ((MachineGroupEntry) stored.value()).machines()) {
        if (member.id().equals(id)) {
          return true;
        }
      }
    }
    return false;
  }

  /** Groups of which every machine has a newer record, or none any more. */
  public List<String> obsoleteGroups() {
    List<String> obsolete = new ArrayList<>();
    entriesUnder(MACHINE_GROUP_PREFIX)
        .forEach(
            (key, stored) -> {
              for (MachineGroupMember member : ((MachineGroupEntry) stored.value()).machines()) {
                Held current = replica.get(MACHINE_PREFIX + member.id());
                if (current != null && current.modRevision() <= stored.modRevision()) {
                  return;
                }
              }
              obsolete.add(key);
            });
    return obsolete;
  }

  /** All keys with this prefix, in their order; a live view. */
  public java.util.SortedMap<String, Held> entriesUnder(String prefix) {
    return replica.subMap(prefix, prefix + Character.MAX_VALUE);
  }

  /** Whether this process of the controller has a session. */
  public boolean isLive(String node, long incarnation) {
    Held stored = replica.get(SESSION_PREFIX + node);
    return stored != null && ((SessionEntry) stored.value()).incarnation() == incarnation;
  }

  boolean isLive(String node) {
    return replica.containsKey(SESSION_PREFIX + node);
  }

  /** The number of this process; 0: none was obtained yet. */
  public long incarnation() {
    return incarnation;
  }

  /** The lease of this process's session; 0: none. */
  public long leaseId() {
    return leaseId;
  }

  /**
   * The mirror shows another session under this controller's name, or none. A change that a former
   * process asked for may be carried out late, in place of this one's entry, and go with its own
   * lease: this process then renewed a lease that held nothing, and everybody took it for dead.
   */
  private void ownSessionChanged(SessionEntry session) {
    if (!sessionRegistered || (session != null && session.incarnation() == incarnation)) {
      return;
    }
    LOG.info("session entry replaced or gone, incarnation {}", incarnation);
    sessionRegistered = false;
  }

  /** Milliseconds for which this controller's session surely lasts; not positive: none. */
  public long sessionRemainingMs() {
    return sessionRegistered ? leaseValidUntilMs - clock.now() : -1;
  }

  public boolean isSessionValid() {
    return sessionRemainingMs() > 0;
  }

  // ---- budget -------------------------------------------------------------------------------
  /** Requests waiting, for the Retry-After of refusals. */
  int queuedRequests() {
    int total = 0;
    for (ArrayDeque<Waiting> queue : queues) {
      total += queue.size();
    }
    return total;
  }

  /** Seconds after which a refused user should come again, by the length of the queue. */
  public int retryAfterS() {
    int seconds = Constants.RETRY_AFTER_MIN_S + queuedRequests() / 20;
    return Math.min(Constants.RETRY_AFTER_MAX_S, seconds);
  }

  private boolean enqueue(Urgency urgency, double reads, double writes, Runnable action) {
    if (urgency != Urgency.SESSION && queuedRequests() >= Constants.STATE_QUEUE_MAX) {
      return false;
    }
    queues.get(urgency.ordinal()).add(new Waiting(reads, writes, action));
    dispatchQueued();
    return true;
  }

  void dispatchQueued() {
    long now = clock.now();
    for (Urgency urgency : Urgency.values()) {
      ArrayDeque<Waiting> queue = queues.get(urgency.ordinal());
      double requestReserve =
          urgency == Urgency.SESSION ? -100 : urgency == Urgency.BACKGROUND ? 4 : 0;
      // a large transaction may have overdrawn a low rate for seconds: sessions don't wait for that
      double writeReserve =
          urgency == Urgency.SESSION ? -100 : urgency == Urgency.BACKGROUND ? 3 : 0;
      while (!queue.isEmpty()) {
        Waiting request = queue.peek();
        if (!requestBucket.canSpend(now, request.reads, requestReserve)) {
          return;
        }
        if (request.writes > 0 && !writeBucket.canSpend(now, request.writes, writeReserve)) {
          break;
        }
        queue.poll();
        requestBucket.spend(now, request.reads);
        if (request.writes > 0) {
          writeBucket.spend(now, request.writes);
        }
        request.action.run();
      }
    }
  }

  /** A transaction whose success is taken into the mirror at once. */
  public boolean transact(
      Urgency urgency, Transaction transaction, Consumer<TransactionResult> callback) {
    double writeCount = transaction.puts().size() + transaction.deletes().size();
    return enqueue(
        urgency,
        1,
        writeCount,
        () -> {
          long sentMs = clock.now();
          effects.transact(
              transaction,
              reply -> {
                recordContact(reply.code(), sentMs);
                if (reply.code() == ResultCode.OK) {
                  for (PutOperation put : transaction.puts()) {
                    applyItem(new KeyValue(put.key(), put.value(), reply.revision()));
                  }
                  for (String key : transaction.deletes()) {
                    applyItem(new KeyValue(key, null, reply.revision()));
                  }
                }
                callback.accept(reply);
              });
        });
  }

  /** A read made after this call; the mirror learns from it. */
  public boolean read(Urgency urgency, String key, Consumer<GetResult> callback) {
    return enqueue(
        urgency,
        1,
        0,
        () ->
            effects.get(
                key,
                result -> {
                  recordContact(result.code(), clock.now());
                  if (result.code() == ResultCode.OK && result.item().value() != null) {
                    applyItem(result.item());
                  }
                  callback.accept(result);
                }));
  }

  private void recordContact(ResultCode code, long atMs) {
    if (code == ResultCode.OK
        || code == ResultCode.CONFLICT
        || code == ResultCode.LEASE_NOT_FOUND
        || code == ResultCode.EXPIRED) {
      lastContactMs = atMs;
    }
  }

  // ---- mirror -------------------------------------------------------------------------------
  /** Applies one change of the state service, which may be older than what is known. */
  public void applyItem(KeyValue item) {
    if (item.value() instanceof MachineGroupEntry group) {
      for (MachineGroupMember member : group.machines()) {
        MachineEntry memberEntry =
            new MachineEntry(
                group.node(),
                group.incarnation(),
                item.modRevision(),
                member.type(),
                member.zone(),
                member.spot());
        putEntry(MACHINE_PREFIX + member.id(), memberEntry, item.modRevision());
      }
    } else if (item.key().startsWith(MACHINE_PREFIX)) {
      long knownRevision = machineEntryRevisions.getOrDefault(item.key(), 0L);
      if (item.modRevision() <= knownRevision) {
        return;
      }
      if (item.value() == null) {
        machineEntryRevisions.remove(item.key());
      } else {
        machineEntryRevisions.put(item.key(), (Long) item.modRevision());
      }
      MachineEntry machineEntry = (MachineEntry) item.value();
      boolean removed = machineEntry == null || machineEntry.node().isEmpty();
      putEntry(
          item.key(),
          removed ? null : machineEntry.withFencingToken(item.modRevision()),
          item.modRevision());
      return;
    }
    putEntry(item.key(), item.value(), item.modRevision());
  }

  private void putEntry(String key, StoredEntry value, long modRevision) {
    Held previous = replica.get(key);
    if (previous != null && previous.modRevision() >= modRevision) {
      if (previous.modRevision() > modRevision && value instanceof MachineEntry machineEntry) {
        listener.machineEntrySuperseded(key.substring(MACHINE_PREFIX.length()), machineEntry);
      }
      return;
    }
    Long deletedRevision = tombstones.get(key);
    if (deletedRevision != null && deletedRevision >= modRevision) {
      return;
    }
    if (value == null) {
      tombstones.put(key, (Long) modRevision);
      if (tombstones.size() > 20_000) {
        tombstones.clear();
      }
      if (previous != null) {
        replica.remove(key);
        if (key.startsWith(JOB_PREFIX)) {
          jobs.remove(key.substring(JOB_PREFIX.length()));
        } else if (key.startsWith(MACHINE_PREFIX)) {
          machines.remove(key.substring(MACHINE_PREFIX.length()));
        }
        notifyChange(key, previous.value(), null);
      }
      return;
    }
    replica.put(key, new Held(value, modRevision));
    if (value instanceof JobEntry job) {
      jobs.put(key.substring(JOB_PREFIX.length()), job);
    } else if (value instanceof MachineEntry newMachineEntry) {
      machines.put(key.substring(MACHINE_PREFIX.length()), newMachineEntry);
    }
    notifyChange(key, previous == null ? null : previous.value(), value);
  }

  private void notifyChange(String key, StoredEntry before, StoredEntry after) {
    if (key.equals(ownSessionKey)) {
      ownSessionChanged((SessionEntry) after);
    }
    listener.entryChanged(key, before, after);
  }

  private void resync() {
    if (syncing) {
      return;
    }
    syncing = true;
    listPage(null, 0, new HashSet<>(), clock.now());
  }

  private void listPage(
      String afterKey, long firstRevision, Set<String> listedKeys, long startedMs) {
    requestBucket.spend(clock.now(), 1);
    effects.list(
        afterKey,
        page -> {
          recordContact(page.code(), clock.now());
          if (page.code() != ResultCode.OK) {
            clock.schedule(
                Constants.STATE_RETRY_MS,
                () -> listPage(afterKey, firstRevision, listedKeys, startedMs));
            return;
          }
          long listRevision = afterKey == null ? page.revision() : firstRevision;
          String lastKey = afterKey;
          for (KeyValue item : page.items()) {
            applyItem(item);
            listedKeys.add(item.key());
            if (item.value() instanceof MachineGroupEntry group) {
              for (MachineGroupMember member : group.machines()) {
                listedKeys.add(MACHINE_PREFIX + member.id());
              }
            }
            lastKey = item.key();
          }
          if (page.hasMore() && lastKey != null) {
            listPage(lastKey, listRevision, listedKeys, startedMs);
            return;
          }
          // what was deleted while no watch ran
          for (String key : new ArrayList<>(replica.keySet())) {
            if (!listedKeys.contains(key) && replica.get(key).modRevision() <= listRevision) {
              applyItem(new KeyValue(key, null, listRevision));
            }
          }
          revision = listRevision;
          freshAtMs = startedMs;
          syncing = false;
          synced = true;
          listener.replicaSynced(revision);
          watchNext();
        });
  }

  private void watchNext() {
    long sentMs = clock.now();
    requestBucket.spend(sentMs, 1);
    effects.watch(
        revision,
        Constants.WATCH_TIMEOUT_MS,
        result -> {
          recordContact(result.code(), clock.now());
          if (result.code() == ResultCode.EXPIRED) {
            synced = false;
            resync();
            return;
          }
          if (result.code() != ResultCode.OK) {
            clock.schedule(Constants.STATE_RETRY_MS, this::watchNext);
            return;
          }
          for (KeyValue item : result.events()) {
            applyItem(item);
          }
          revision = Math.max(revision, result.revision());
          freshAtMs = Math.max(freshAtMs, sentMs);
          listener.advanced();
          clock.schedule(Constants.WATCH_PAUSE_MS, this::watchNext);
        });
  }

  // ---- session ------------------------------------------------------------------------------
  /** Periodic work: the session and the queued requests. */
  public void tick() {
    long now = clock.now();
    // those that live share the limits: the machines of a dead controller come all at once
    int liveControllers =
        synced
            ? Math.max(1, Math.min(controllerCount, entriesUnder(SESSION_PREFIX).size()))
            : controllerCount;
    requestBucket.setRate(now, requestsPerS / liveControllers);
    writeBucket.setRate(now, writesPerS / liveControllers);
    if (incarnation == 0) {
      if (!sessionRequestPending && now >= nextSessionAttemptMs) {
        obtainIncarnation();
      }
    } else if (leaseId == 0) {
      if (!sessionRequestPending && now >= nextSessionAttemptMs) {
        obtainLease();
      }
    } else if (!sessionRegistered) {
      if (!sessionRequestPending && now >= nextSessionAttemptMs) {
        putSession();
      }
    } else if (!sessionRequestPending
        && now - lastRenewalMs >= Constants.SESSION_RENEWAL_INTERVAL_MS
        && now >= nextSessionAttemptMs) {
      renewLease();
    }
    dispatchQueued();
  }

  private void sessionRequestFailed() {
    sessionRequestPending = false;
    nextSessionAttemptMs = clock.now() + Constants.STATE_RETRY_MS;
  }

  /** Incarnations come from a counter that is never set back, so no process shares one. */
  private void obtainIncarnation() {
    sessionRequestPending = true;
    read(
        Urgency.SESSION,
        INCARNATION_COUNTER_KEY,
        getReply -> {
          if (getReply.code() != ResultCode.OK) {
            sessionRequestFailed();
            return;
          }
          long next =
              getReply.item().value() == null
                  ? 1
                  : ((IncarnationCounterEntry) getReply.item().value()).value() + 1;
          transact(
              Urgency.SESSION,
              new Transaction(
                  List.of(new Condition(INCARNATION_COUNTER_KEY, getReply.item().modRevision())),
                  List.of(
                      new PutOperation(
                          INCARNATION_COUNTER_KEY, new IncarnationCounterEntry(next), 0)),
                  List.of()),
              reply -> {
                if (reply.code() != ResultCode.OK) {
                  sessionRequestFailed();
                  return;
                }
                incarnation = next;
                sessionRequestPending = false;
                tick();
              });
        });
  }

  private void obtainLease() {
    sessionRequestPending = true;
    long sentMs = clock.now();
    requestBucket.spend(sentMs, 1);
    effects.grantLease(
        Constants.SESSION_LEASE_MS,
        reply -> {
          recordContact(reply.code(), sentMs);
          if (reply.code() != ResultCode.OK) {
            sessionRequestFailed();
            return;
          }
          leaseId = reply.leaseId();
          lastRenewalMs = sentMs;
          extendLease(sentMs);
          sessionRequestPending = false;
          tick();
        });
  }

  private void extendLease(long sentMs) {
    // counted from when the request was sent, less drift: the service can't have ended it earlier
    leaseValidUntilMs =
        Math.max(
            leaseValidUntilMs,
            sentMs
                + (long) (Constants.SESSION_LEASE_MS * (1 - 2 * Constants.CLOCK_DRIFT_FRACTION))
                - Constants.SESSION_MARGIN_MS);
  }

  /** Compared with what was read, so that one that is carried out late replaces no later one. */
  private void putSession() {
    sessionRequestPending = true;
    read(
        Urgency.SESSION,
        SESSION_PREFIX + settings.node(),
        reply -> {
          if (reply.code() == ResultCode.OK) {
            putSession(reply.item().modRevision());
          } else {
            sessionRequestFailed();
          }
        });
  }

  private void putSession(long modRevision) {
    List<PutOperation> puts = new ArrayList<>();
    puts.add(
        new PutOperation(
            SESSION_PREFIX + settings.node(),
            new SessionEntry(settings.node(), incarnation),
            leaseId));
    int programVersion = settings.programVersion();
    if (programVersion > ProgramVersion.UNKNOWN) {
      VersionEntry versionEntry = new VersionEntry(settings.node(), incarnation, programVersion);
      puts.add(new PutOperation(VERSION_PREFIX + settings.node(), versionEntry, 0));
    }
    transact(
        Urgency.SESSION,
        new Transaction(
            List.of(new Condition(SESSION_PREFIX + settings.node(), modRevision)), puts, List.of()),
        reply -> {
          if (reply.code() == ResultCode.LEASE_NOT_FOUND) {
            leaseId = 0;
            sessionRequestFailed();
            return;
          }
          if (reply.code() != ResultCode.OK) {
            sessionRequestFailed();
            return;
          }
          sessionRequestPending = false;
          sessionRegistered = true;
          LOG.info("session up, incarnation {}", incarnation);
          if (!synced) {
            resync();
          }
        });
  }

  private void renewLease() {
    sessionRequestPending = true;
    long sentMs = clock.now();
    requestBucket.spend(sentMs, 1);
    effects.renewLease(
        leaseId,
        reply -> {
          recordContact(reply.code(), sentMs);
          sessionRequestPending = false;
          if (reply.code() == ResultCode.OK) {
            lastRenewalMs = sentMs;
            extendLease(sentMs);
          } else if (reply.code() == ResultCode.EXPIRED) {
            LOG.info("session lost, incarnation {}", incarnation);
            leaseId = 0;
            sessionRegistered = false;
          } else {
            sessionRequestFailed();
          }
        });
  }
}
