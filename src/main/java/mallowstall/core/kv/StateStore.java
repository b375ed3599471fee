package mallowstall.core.kv;

import java.util.List;
import java.util.SortedMap;
import java.util.function.Consumer;
import mallowstall.core.kernel.Effects;
import mallowstall.core.kernel.EventClock;
import mallowstall.core.kernel.GetResult;
import mallowstall.core.kernel.KeyValue;
import mallowstall.core.kernel.Transaction;
import mallowstall.core.kernel.TransactionResult;
import mallowstall.core.model.CoreSettings;
import mallowstall.core.model.JobEntry;
import mallowstall.core.model.MachineEntry;
import mallowstall.core.model.SessionEntry;

/**
 * This controller's access to the state service for the other modules. Reads return values of the
 * state replica, and writes are transactions. This class connects the replica, its synchronization,
 * the session and the request queue. It is not thread-safe and is called only within events.
 */
public final class StateStore {
  private final int controllerCount;
  private final RequestQueue queue;
  private final StateReplica replica;
  private final StateRequests requests;
  private final ReplicaSync sync;
  private final SessionLease session;

  /** Creates a store without a session. It sends no request before the first {@link #tick}. */
  public StateStore(EventClock clock, CoreSettings settings, Effects effects) {
    controllerCount = settings.peers().size() + 1;
    queue = new RequestQueue(clock, settings);
    replica = new StateReplica(StateKeys.session(settings.node()), this::ownSessionChanged);
    requests = new StateRequests(clock, effects, queue, replica);
    sync = new ReplicaSync(clock, requests, replica);
    session = new SessionLease(clock, settings, requests, this::tick, sync::start, sync::freshAtMs);
  }

  private void ownSessionChanged(SessionEntry entry) {
    session.entryChanged(entry);
  }

  /** Sets the receiver of changes. This method is called once, before the first event. */
  public void subscribe(StateChangeListener listener) {
    replica.subscribe(listener);
  }

  /** Does the periodic work: obtains or renews the session and sends queued requests. */
  public void tick() {
    queue.setLiveControllers(liveControllers());
    session.tick();
    queue.dispatch();
  }

  /**
   * Returns the number of live controllers. Only these share the rates, because all machines of a
   * controller whose session has expired move to the live controllers at once.
   */
  private int liveControllers() {
    return sync.synced()
        ? Math.max(1, Math.min(controllerCount, entriesUnder(StateKeys.SESSION_PREFIX).size()))
        : controllerCount;
  }

  /** Returns the revision up to which the replica is complete, or 0 if it isn't complete. */
  public long revision() {
    return sync.revision();
  }

  /**
   * Returns whether all keys have been listed and are being watched. The replica is complete only
   * when {@link #revision} isn't 0.
   */
  public boolean synced() {
    return sync.synced();
  }

  /** Returns the steady time in milliseconds up to which the replica holds every change. */
  public long freshAtMs() {
    return sync.freshAtMs();
  }

  /**
   * Returns the latest steady time in milliseconds at which the state service is known to have
   * served this controller.
   */
  public long lastContactMs() {
    return requests.lastContactMs();
  }

  /** Returns the value of a key with its revision, or null if the key doesn't exist. */
  public StoredValue entry(String key) {
    return replica.entry(key);
  }

  /** Returns a live view of all keys with this prefix, in key order. */
  public SortedMap<String, StoredValue> entriesUnder(String prefix) {
    return replica.entriesUnder(prefix);
  }

  /** Returns the entry of a job, or null if the replica has none. */
  public JobEntry job(String id) {
    return replica.job(id);
  }

  /** Returns the entry of a machine, or null if it has none or was returned to the cloud. */
  public MachineEntry machine(String id) {
    return replica.machine(id);
  }

  /** Returns whether the machine's entry written at this revision has been deleted since. */
  public boolean isMachineReturned(String machine, long entryRevision) {
    return machine(machine) == null && entryRevision <= revision();
  }

  /**
   * Returns the revision to use in the condition of a write of the key, or 0 if the key doesn't
   * exist.
   */
  public long modRevision(String key) {
    return replica.modRevision(key);
  }

  /**
   * Returns whether a group contains the machine. If so, deleting the machine's own entry doesn't
   * remove the machine.
   */
  public boolean isInMachineGroup(String machine) {
    return replica.isInMachineGroup(machine);
  }

  /** Returns the keys of groups in which every machine has a newer entry or no entry any more. */
  public List<String> obsoleteGroups() {
    return replica.obsoleteGroups();
  }

  /**
   * Applies one change that was not received by the watch. It may be older than the value in the
   * replica.
   */
  public void applyChange(KeyValue change) {
    replica.apply(change);
  }

  /** Returns whether the replica holds a session of this incarnation of the controller. */
  public boolean isLive(String node, long incarnation) {
    StoredValue stored = replica.entry(StateKeys.session(node));
    return stored != null && ((SessionEntry) stored.value()).incarnation() == incarnation;
  }

  /**
   * Returns the incarnation number of this process, which is unique among all processes of all
   * controllers, or 0 if none has been obtained yet.
   */
  public long incarnation() {
    return session.incarnation();
  }

  /** Returns the id of this process's session lease, or 0 if there is none. */
  public long leaseId() {
    return session.leaseId();
  }

  /**
   * Returns the time in milliseconds for which this controller's session is certain to last. If it
   * is 0 or negative, there is no valid session.
   */
  public long sessionRemainingMs() {
    return session.remainingMs();
  }

  /** Returns whether this controller's session is certain to be valid now. */
  public boolean isSessionValid() {
    return sessionRemainingMs() > 0;
  }

  /**
   * Returns whether this controller has given up its session because its replica doesn't catch up,
   * although the state service serves it.
   */
  public boolean isSessionGivenUp() {
    return session.isGivenUp();
  }

  /**
   * Returns the number of seconds after which a rejected user should retry. It grows with the
   * number of waiting requests.
   */
  public int retryAfterS() {
    return queue.retryAfterS();
  }

  /**
   * Requests a transaction. The replica holds the changes of a committed transaction before {@code
   * callback} is called.
   *
   * @return false if the queue is full, in which case no request is sent and {@code callback} is
   *     never called
   */
  public boolean transact(
      RequestPriority priority, Transaction transaction, Consumer<TransactionResult> callback) {
    return requests.transact(priority, transaction, callback);
  }

  /**
   * Reads a key from the state service. The replica holds the value before {@code callback} is
   * called.
   *
   * @return false if the queue is full, in which case no request is sent and {@code callback} is
   *     never called
   */
  public boolean read(RequestPriority priority, String key, Consumer<GetResult> callback) {
    return requests.read(priority, key, callback);
  }
}
