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
 * This controller's access to the state service, for the modules above: reads are answered from the
 * replica, writes are transactions. Wires the replica, its synchronization, the session and the
 * request queue. Not thread-safe; called within events only.
 */
public final class StateStore {
  private final int controllerCount;
  private final RequestQueue queue;
  private final StateReplica replica;
  private final StateRequests requests;
  private final ReplicaSync sync;
  private final SessionLease session;

  /** A store without a session; it sends nothing before the first {@link #tick}. */
  public StateStore(EventClock clock, CoreSettings settings, Effects effects) {
    controllerCount = settings.peers().size() + 1;
    queue = new RequestQueue(clock, settings);
    replica = new StateReplica(StateKeys.session(settings.node()), this::ownSessionChanged);
    requests = new StateRequests(clock, effects, queue, replica);
    sync = new ReplicaSync(clock, requests, replica);
    session = new SessionLease(clock, settings, requests, this::tick, sync::start);
  }

  private void ownSessionChanged(SessionEntry entry) {
    session.entryChanged(entry);
  }

  /** Sets the receiver of changes; called once, before the first event. */
  public void subscribe(StateChangeListener listener) {
    replica.subscribe(listener);
  }

  /** Does periodic work: the session and the queued requests. */
  public void tick() {
    queue.setLiveControllers(liveControllers());
    session.tick();
    queue.dispatch();
  }

  /** Only live ones share the rates: the machines of an expired controller come all at once. */
  private int liveControllers() {
    return sync.synced()
        ? Math.max(1, Math.min(controllerCount, entriesUnder(StateKeys.SESSION_PREFIX).size()))
        : controllerCount;
  }

  /** The revision up to which the replica is complete; 0: it isn't. */
  public long revision() {
    return sync.revision();
  }

  /** Whether all keys have been listed and are being watched; see {@link #revision} too. */
  public boolean synced() {
    return sync.synced();
  }

  /** Steady time in ms up to which the replica surely holds every change. */
  public long freshAtMs() {
    return sync.freshAtMs();
  }

  /** Steady time in ms up to which the state service surely served this controller. */
  public long lastContactMs() {
    return requests.lastContactMs();
  }

  /** The value of a key with its revision; null if it doesn't exist. */
  public StoredValue entry(String key) {
    return replica.entry(key);
  }

  /** All keys with this prefix, in their order; a live view. */
  public SortedMap<String, StoredValue> entriesUnder(String prefix) {
    return replica.entriesUnder(prefix);
  }

  /** The entry of a job; null if none is known. */
  public JobEntry job(String id) {
    return replica.job(id);
  }

  /** The entry of a machine; null if it has none, or was returned. */
  public MachineEntry machine(String id) {
    return replica.machine(id);
  }

  /** Whether the machine's entry that was written at this revision has been deleted since. */
  public boolean returned(String machine, long entryRevision) {
    return machine(machine) == null && entryRevision <= revision();
  }

  /** The revision with which a write of the key is compared; 0: the key doesn't exist. */
  public long modRevision(String key) {
    return replica.modRevision(key);
  }

  /** Whether a group names the machine: then deleting its own entry wouldn't remove it. */
  public boolean isInMachineGroup(String machine) {
    return replica.isInMachineGroup(machine);
  }

  /** Keys of groups of which every machine has a newer entry, or none any more. */
  public List<String> obsoleteGroups() {
    return replica.obsoleteGroups();
  }

  /** Applies one change that did not come from the watch; it may be older than what is known. */
  public void applyChange(KeyValue change) {
    replica.apply(change);
  }

  /** Whether this process of a controller has a session, as far as the replica knows. */
  public boolean isLive(String node, long incarnation) {
    StoredValue stored = replica.entry(StateKeys.session(node));
    return stored != null && ((SessionEntry) stored.value()).incarnation() == incarnation;
  }

  /** The number of this process among all of all controllers; 0: none was obtained yet. */
  public long incarnation() {
    return session.incarnation();
  }

  /** The lease of this process's session; 0: none. */
  public long leaseId() {
    return session.leaseId();
  }

  /** Milliseconds for which this controller's session surely lasts; not positive: none. */
  public long sessionRemainingMs() {
    return session.remainingMs();
  }

  /** Whether this controller's session surely lasts now. */
  public boolean isSessionValid() {
    return sessionRemainingMs() > 0;
  }

  /** Seconds after which a rejected user should try again, by the length of the queue. */
  public int retryAfterS() {
    return queue.retryAfterS();
  }

  /**
   * Requests a transaction; a committed one is in the replica before {@code callback} is called.
   *
   * @return false: the queue is full, nothing was sent and {@code callback} won't be called
   */
  public boolean transact(
      RequestPriority priority, Transaction transaction, Consumer<TransactionResult> callback) {
    return requests.transact(priority, transaction, callback);
  }

  /**
   * Reads a key at the state service; the replica has the value before {@code callback} is called.
   *
   * @return false: the queue is full, nothing was sent and {@code callback} won't be called
   */
  public boolean read(RequestPriority priority, String key, Consumer<GetResult> callback) {
    return requests.read(priority, key, callback);
  }
}
