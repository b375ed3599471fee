package mallowstall.core.machines;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.StringJoiner;
import java.util.function.Consumer;
import mallowstall.Constants;
import mallowstall.core.cluster.MachineTypeCatalog;
import mallowstall.core.kernel.EventClock;
import mallowstall.core.kernel.ResultCode;
import mallowstall.core.kernel.TransactionResult;
import mallowstall.core.kv.StateKeys;
import mallowstall.core.kv.StateStore;
import mallowstall.core.kv.StoredValue;
import mallowstall.core.kv.ValueSize;
import mallowstall.core.model.CoreSettings;
import mallowstall.core.model.Heartbeat;
import mallowstall.core.model.HeartbeatResponse;
import mallowstall.core.model.MachineGroupMember;
import mallowstall.core.model.MachineType;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Registers this controller as the leader of machines whose workers turn to it. Machines whose
 * heartbeats arrive at about the same time share one transaction. Mutable.
 */
public final class MachineRegistration {
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.machines");

  /** The time in milliseconds for which machines are collected into one registration. */
  private static final long REGISTRATION_BATCH_WINDOW_MS = 40;

  /**
   * Maximum time in milliseconds after the last batch was sent for which machines are collected
   * while a registration is unanswered.
   */
  private static final long REGISTRATION_BATCH_WAIT_MAX_MS = 500;

  /** The size in bytes of one machine with long names in a group entry. */
  private static final int MACHINE_GROUP_MEMBER_BYTES = 100;

  private final EventClock clock;
  private final CoreSettings settings;
  private final StateStore store;
  private final MachineTypeCatalog types;
  private final StaleHeartbeats staleHeartbeats;
  private final LeaderRedirects redirects;
  private final ManagedMachines machines;
  private final MachineEntryWriter entryWriter;
  private final HeartbeatHandler heartbeatHandler;

  private final List<PendingRegistration> pendingRegistrations = new ArrayList<>();

  /** Whether the registration of the next batch of {@link #pendingRegistrations} is scheduled. */
  private boolean batchScheduled;

  /** The number of unanswered transactions. */
  private int registrationsInFlight;

  private long batchSentAtMs;

  /** Creates an instance that registers machines unless a heartbeat is stale or redirected. */
  public MachineRegistration(
      EventClock clock,
      CoreSettings settings,
      StateStore store,
      MachineTypeCatalog types,
      StaleHeartbeats staleHeartbeats,
      LeaderRedirects redirects,
      ManagedMachines machines,
      MachineEntryWriter entryWriter,
      HeartbeatHandler heartbeatHandler) {
    this.clock = clock;
    this.settings = settings;
    this.store = store;
    this.types = types;
    this.staleHeartbeats = staleHeartbeats;
    this.redirects = redirects;
    this.machines = machines;
    this.entryWriter = entryWriter;
    this.heartbeatHandler = heartbeatHandler;
  }

  /** A machine that is being registered, and the receiver of the response to its heartbeat. */
  private record PendingRegistration(
      Heartbeat heartbeat, MachineType type, Consumer<HeartbeatResponse> reply) {}

  /**
   * Queues the machine for registration with this controller as its leader, or answers at once that
   * this controller is unavailable or that the worker is redirected. A heartbeat is accepted only
   * after the registration is written, whose revision is the new, larger fencing token. {@code
   * reply} is called once, possibly after this method returns.
   */
  void register(Heartbeat heartbeat, Consumer<HeartbeatResponse> reply) {
    long now = clock.now();
    String id = heartbeat.machine();
    MachineType type = types.find(heartbeat.type());
    if (type == null || staleHeartbeats.isStale(heartbeat)) {
      reply.accept(HeartbeatResponse.unavailable());
      return;
    }
    String target = redirects.redirect(heartbeat, now).orElse(null);
    if (target != null) {
      reply.accept(HeartbeatResponse.redirect(target));
      return;
    }
    if (entryWriter.inFlightWithin(id, now, 3 * Constants.STATE_TIMEOUT_MS)
        || !store.isSessionValid()) {
      reply.accept(HeartbeatResponse.unavailable());
      return;
    }
    entryWriter.markInFlight(id, now);
    pendingRegistrations.add(new PendingRegistration(heartbeat, type, reply));
    scheduleBatch();
  }

  private void scheduleBatch() {
    if (batchScheduled) {
      return;
    }
    batchScheduled = true;
    clock.schedule(REGISTRATION_BATCH_WINDOW_MS, this::registerBatch);
  }

  /**
   * Registers the pending machines in as few transactions as possible. A group entry needs no
   * condition on the machines' current entries: the fencing token is the revision of the write, so
   * the controller that writes last leads the machines. A batch of one machine is written as a
   * single entry, with a condition on the entry's revision.
   */
  private void registerBatch() {
    batchScheduled = false;
    // While a registration is unanswered, for example because of the state service's rate limit,
    // machines join the next batch, for at most REGISTRATION_BATCH_WAIT_MAX_MS. With one write per
    // window, writes would queue for longer than a worker waits before it turns to another
    // controller.
    boolean mustWait =
        registrationsInFlight > 0 && clock.now() - batchSentAtMs < REGISTRATION_BATCH_WAIT_MAX_MS;
    if (mustWait) {
      scheduleBatch();
      return;
    }
    batchSentAtMs = clock.now();
    rejectStaleRegistrations();
    List<PendingRegistration> all = new ArrayList<>(pendingRegistrations);
    pendingRegistrations.clear();
    int maxPerBatch = Math.max(1, settings.maxValueBytes() / MACHINE_GROUP_MEMBER_BYTES - 2);
    List<PendingRegistration> batch;
    for (int start = 0; start < all.size(); start += batch.size()) {
      batch = largestFittingBatch(all.subList(start, Math.min(all.size(), start + maxPerBatch)));
      register(batch);
    }
  }

  /** Rejects pending machines whose heartbeats have since turned out to be late copies. */
  private void rejectStaleRegistrations() {
    Iterator<PendingRegistration> iterator = pendingRegistrations.iterator();
    while (iterator.hasNext()) {
      PendingRegistration pending = iterator.next();
      if (staleHeartbeats.isStale(pending.heartbeat)) {
        iterator.remove();
        entryWriter.clearInFlight(pending.heartbeat.machine());
        pending.reply.accept(HeartbeatResponse.unavailable());
      }
    }
  }

  /**
   * Returns a prefix of the candidates whose encoded group entry fits into one value of the state
   * service. The prefix has at least one candidate, and need not be the longest one that fits.
   */
  private List<PendingRegistration> largestFittingBatch(List<PendingRegistration> candidates) {
    return ValueSize.longestFittingPrefix(
        candidates, batch -> entryWriter.groupSize(members(batch)), settings.maxValueBytes());
  }

  private static List<MachineGroupMember> members(List<PendingRegistration> batch) {
    List<MachineGroupMember> members = new ArrayList<>();
    for (PendingRegistration pending : batch) {
      Heartbeat heartbeat = pending.heartbeat;
      members.add(
          new MachineGroupMember(
              heartbeat.machine(), heartbeat.type(), heartbeat.zone(), heartbeat.spot()));
    }
    return members;
  }

  /** Registers this controller as the leader of these machines in one transaction. */
  private void register(List<PendingRegistration> batch) {
    registrationsInFlight++;
    Consumer<TransactionResult> callback =
        reply -> {
          registrationsInFlight--;
          logRegistration(batch, reply);
          batch.forEach(pending -> completeRegistration(pending, reply));
        };
    if (!writeEntries(batch, callback)) {
      callback.accept(new TransactionResult(ResultCode.REJECTED, 0));
    }
  }

  /** Logs one line per transaction, since hundreds of machines may register at once. */
  private static void logRegistration(List<PendingRegistration> batch, TransactionResult reply) {
    if (reply.code() != ResultCode.OK || !LOG.isInfoEnabled()) {
      return;
    }
    StringJoiner names = new StringJoiner(",");
    for (PendingRegistration pending : batch) {
      names.add(pending.heartbeat.machine());
    }
    LOG.info("machines registered token={} machines={}", reply.revision(), names);
  }

  private boolean writeEntries(
      List<PendingRegistration> batch, Consumer<TransactionResult> callback) {
    if (batch.size() > 1) {
      return entryWriter.writeGroup(members(batch), callback);
    }
    Heartbeat heartbeat = batch.get(0).heartbeat;
    return entryWriter.writeEntry(
        heartbeat.machine(), heartbeat.type(), heartbeat.zone(), heartbeat.spot(), callback);
  }

  private void completeRegistration(PendingRegistration pending, TransactionResult reply) {
    Heartbeat heartbeat = pending.heartbeat;
    String id = heartbeat.machine();
    entryWriter.clearInFlight(id);
    StoredValue stored = store.entry(StateKeys.machine(id));
    if (reply.code() != ResultCode.OK
        || stored == null
        || stored.modRevision() != reply.revision()) {
      // The entry was not written, or another controller has written it since.
      pending.reply.accept(HeartbeatResponse.unavailable());
      return;
    }
    ManagedMachine previous = machines.get(id);
    ManagedMachine machine =
        machines.add(id, pending.type, heartbeat.zone(), heartbeat.spot(), reply.revision());
    if (previous != null) {
      machine.images().addAll(previous.images().toList());
    }
    LOG.debug(
        "machine registered machine={} type={} zone={} token={} reportedToken={}",
        id,
        heartbeat.type(),
        heartbeat.zone(),
        machine.fencingToken(),
        heartbeat.fencingToken());
    pending.reply.accept(heartbeatHandler.handle(machine, heartbeat));
  }
}
