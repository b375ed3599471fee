package mallowstall.core.machines;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.StringJoiner;
import java.util.function.Consumer;
import mallowstall.Constants;
import mallowstall.core.cluster.ClusterView;
import mallowstall.core.cluster.MachineTypeCatalog;
import mallowstall.core.cluster.MachineView;
import mallowstall.core.cluster.Membership;
import mallowstall.core.cluster.PeerState;
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
import mallowstall.core.model.MachineEntry;
import mallowstall.core.model.MachineGroupMember;
import mallowstall.core.model.MachineType;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Takes over machines that turn to this controller: those that come together share one change.
 * Reports that may be late copies are refused, or sent to the machine's live owner. Mutable.
 */
public final class MachineRegistration {
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.owner");

  private final EventClock clock;
  private final CoreSettings settings;
  private final ClusterView view;
  private final MachineTypeCatalog types;
  private final Membership membership;
  private final StateStore store;
  private final HeartbeatHandler heartbeatHandler;
  private final ManagedMachines machines;
  private final MachineEntryWriter entryWriter;

  /** New machines sent to another controller, and when. */
  private final Map<String, Long> redirectedAtMs = new HashMap<>();

  /** Machines sent back to their live owner, and when. */
  private final Map<String, Long> sentBackAtMs = new HashMap<>();

  /** Machines whose record was dropped, since they were returned; names are never used again. */
  private final Set<String> tombstone = new LinkedHashSet<>();

  private final List<Arriving> pendingRegistrations = new ArrayList<>();

  /** Whether the next batch of {@link #pendingRegistrations} is planned. */
  private boolean batchScheduled;

  /** Changes that are unanswered. */
  private int registrationsInFlight;

  private long batchSentAtMs;

  /** Wires this module to the ones that it uses; it does nothing before its first event. */
  public MachineRegistration(
      EventClock clock,
      CoreSettings settings,
      StateStore store,
      ClusterView view,
      MachineTypeCatalog types,
      Membership membership,
      ManagedMachines machines,
      MachineEntryWriter entryWriter,
      HeartbeatHandler heartbeatHandler) {
    this.clock = clock;
    this.settings = settings;
    this.view = view;
    this.types = types;
    this.membership = membership;
    this.store = store;
    this.heartbeatHandler = heartbeatHandler;
    this.machines = machines;
    this.entryWriter = entryWriter;
  }

  /** The machine's record was dropped: reports that still come are late copies. */
  void tombstone(String machine) {
    tombstone.add(machine);
    if (tombstone.size() > Constants.RELEASED_MACHINES_MAX) {
      tombstone.remove(tombstone.iterator().next());
    }
  }

  /** Forgets whom it sent back so long ago that they may be sent again. */
  void expireRedirects(long now) {
    sentBackAtMs.values().removeIf(at -> now - at > Constants.REDIRECT_REPEAT_MS);
  }

  /**
   * Whether the report is an old one that comes late: its machine is gone, or its owner has told of
   * a newer one. Taking it for the worker itself would take the machine from its live owner, or
   * bring back a machine that was returned.
   */
  private boolean stale(Heartbeat heartbeat) {
    // Records are made before the first token is shown and dropped once the machine is returned.
    if (heartbeat.fencingToken() > 0 && store.machine(heartbeat.machine()) == null) {
      return true;
    }
    if (tombstone.contains(heartbeat.machine())) {
      return true;
    }
    MachineView machine = view.machine(heartbeat.machine());
    if (machine == null
        || machine.status() == null
        || heartbeat.session() > machine.status().session()) {
      return false;
    }
    return heartbeat.session() < machine.status().session()
        || machine.status().leaseExpired()
        || heartbeat.sequence() <= machine.status().heartbeatSequence();
  }

  /**
   * The recorded owner, if it lives, is served and still hears the machine by what it has just
   * told: the report may be a late copy that is newer than the last statement. Only once in a
   * while, so that a worker that can't reach its owner any more is soon taken over.
   */
  private String liveMachineLeader(Heartbeat heartbeat, long now) {
    MachineEntry machineEntry = store.machine(heartbeat.machine());
    MachineView machine = view.machine(heartbeat.machine());
    if (machineEntry == null
        || machine == null
        || machine.status() == null
        || machineEntry.node().equals(settings.node())) {
      return null;
    }
    PeerState peer = view.peer(machineEntry.node());
    boolean leaderResponsive =
        store.isLive(machineEntry.node(), machineEntry.incarnation())
            && machineEntry.node().equals(machine.leader())
            && machine.status().fencingToken() == machineEntry.fencingToken()
            && machine.status().tokenAcknowledged()
            && !machine.status().unresponsive()
            && now - peer.lastUpdateMs()
                < Constants.STATUS_UPDATE_INTERVAL_MS + Constants.STATUS_UPDATE_LATE_MS
            && now - peer.replicaFreshAtMs()
                < Constants.STATE_CUT_OFF_MS + Constants.WATCH_TIMEOUT_MS;
    Long sentBackBeforeMs = sentBackAtMs.get(heartbeat.machine());
    return leaderResponsive
            && (sentBackBeforeMs == null || now - sentBackBeforeMs > Constants.REDIRECT_REPEAT_MS)
        ? machineEntry.node()
        : null;
  }

  /** Makes this controller the recorded owner, under a larger token, before the first 200. */
  void register(Heartbeat heartbeat, Consumer<HeartbeatResponse> reply) {
    long now = clock.now();
    MachineType type = types.find(heartbeat.type());
    if (type == null) {
      reply.accept(HeartbeatResponse.unavailable());
      return;
    }
    if (stale(heartbeat)) {
      reply.accept(HeartbeatResponse.unavailable());
      return;
    }
    String liveLeader = liveMachineLeader(heartbeat, now);
    if (liveLeader != null) {
      sentBackAtMs.put(heartbeat.machine(), now);
      reply.accept(HeartbeatResponse.redirect(liveLeader));
      return;
    }
    String preferred = preferredMachineLeader(heartbeat, now);
    if (preferred != null) {
      reply.accept(HeartbeatResponse.redirect(preferred));
      return;
    }
    Long inFlightSinceMs = entryWriter.inFlightSinceMs(heartbeat.machine());
    if (inFlightSinceMs != null && now - inFlightSinceMs < 3 * Constants.STATE_TIMEOUT_MS) {
      reply.accept(HeartbeatResponse.unavailable());
      return;
    }
    if (!store.isSessionValid()) {
      reply.accept(HeartbeatResponse.unavailable());
      return;
    }
    entryWriter.markInFlight(heartbeat.machine(), now);
    pendingRegistrations.add(new Arriving(heartbeat, type, reply));
    scheduleBatch();
  }

  /** The controller that a new machine should report to, if another; told only once in a while. */
  private String preferredMachineLeader(Heartbeat heartbeat, long now) {
    if (heartbeat.fencingToken() != 0) {
      return null;
    }
    String preferred = membership.preferredLeader(heartbeat.machine(), heartbeat.zone());
    Long redirectedBeforeMs = redirectedAtMs.get(heartbeat.machine());
    boolean recentlyRedirected =
        redirectedBeforeMs != null && now - redirectedBeforeMs <= Constants.REDIRECT_REPEAT_MS;
    if (preferred.equals(settings.node()) || recentlyRedirected) {
      return null;
    }
    redirectedAtMs.put(heartbeat.machine(), now);
    if (redirectedAtMs.size() > Constants.REDIRECTS_MAX) {
      redirectedAtMs.clear();
    }
    return preferred;
  }

  private void scheduleBatch() {
    if (batchScheduled) {
      return;
    }
    batchScheduled = true;
    clock.schedule(Constants.REGISTRATION_BATCH_WINDOW_MS, this::registerBatch);
  }

  /** A machine that has turned here, and who waits for the answer. */
  private record Arriving(
      Heartbeat heartbeat, MachineType type, Consumer<HeartbeatResponse> reply) {}

  /**
   * Takes over the machines that have turned here since, in as few changes as can be. No comparison
   * of their records is needed: whoever writes later owns them, under the larger token, which is
   * the revision of the change.
   */
  private void registerBatch() {
    batchScheduled = false;
    // While changes wait for the state service's rate, more machines join the next batch. With one
    // change for every 40 ms the queue outgrew the 4 s for which workers wait: each turned to the
    // next controller, was adopted there as late, and so on for a minute.
    boolean mustWait =
        registrationsInFlight > 0
            && clock.now() - batchSentAtMs < Constants.REGISTRATION_BATCH_WAIT_MAX_MS;
    if (mustWait) {
      scheduleBatch();
      return;
    }
    batchSentAtMs = clock.now();
    List<Arriving> all = new ArrayList<>(pendingRegistrations);
    pendingRegistrations.clear();
    int maxPerBatch =
        Math.max(1, settings.maxValueBytes() / Constants.MACHINE_GROUP_MEMBER_BYTES - 2);
    List<Arriving> batch;
    for (int start = 0; start < all.size(); start += batch.size()) {
      batch = largestFittingBatch(all.subList(start, Math.min(all.size(), start + maxPerBatch)));
      register(batch);
    }
  }

  /** As many of the machines as fit one value, with the names that they really have. */
  private List<Arriving> largestFittingBatch(List<Arriving> candidates) {
    return ValueSize.longestFittingPrefix(
        candidates, batch -> entryWriter.groupSize(members(batch)), settings.maxValueBytes());
  }

  private static List<MachineGroupMember> members(List<Arriving> batch) {
    List<MachineGroupMember> members = new ArrayList<>();
    for (Arriving arrival : batch) {
      Heartbeat heartbeat = arrival.heartbeat;
      members.add(
          new MachineGroupMember(
              heartbeat.machine(), heartbeat.type(), heartbeat.zone(), heartbeat.spot()));
    }
    return members;
  }

  /** Takes these machines over in one change. */
  private void register(List<Arriving> batch) {
    registrationsInFlight++;
    Consumer<TransactionResult> callback =
        reply -> {
          registrationsInFlight--;
          logRegistration(batch, reply);
          batch.forEach(arrival -> completeRegistration(arrival, reply));
        };
    if (!writeEntries(batch, callback)) {
      callback.accept(new TransactionResult(ResultCode.REJECTED, 0));
    }
  }

  /** One line a change: a line a machine cost more than what it told when hundreds came at once. */
  private static void logRegistration(List<Arriving> batch, TransactionResult reply) {
    if (reply.code() != ResultCode.OK || !LOG.isInfoEnabled()) {
      return;
    }
    StringJoiner names = new StringJoiner(" ");
    for (Arriving arrival : batch) {
      names.add(arrival.heartbeat.machine());
    }
    LOG.info("adopted under term {}: {}", reply.revision(), names);
  }

  private boolean writeEntries(List<Arriving> batch, Consumer<TransactionResult> callback) {
    if (batch.size() > 1) {
      return entryWriter.writeGroup(members(batch), callback);
    }
    Heartbeat heartbeat = batch.get(0).heartbeat;
    return entryWriter.writeEntry(
        heartbeat.machine(), heartbeat.type(), heartbeat.zone(), heartbeat.spot(), callback);
  }

  private void completeRegistration(Arriving arrival, TransactionResult reply) {
    Heartbeat heartbeat = arrival.heartbeat;
    entryWriter.clearInFlight(heartbeat.machine());
    StoredValue stored = store.entry(StateKeys.machine(heartbeat.machine()));
    if (reply.code() != ResultCode.OK
        || stored == null
        || stored.modRevision() != reply.revision()) {
      // not written, or somebody has written since
      arrival.reply.accept(HeartbeatResponse.unavailable());
      return;
    }
    ManagedMachine previous = machines.get(heartbeat.machine());
    ManagedMachine machine =
        machines.add(
            heartbeat.machine(),
            arrival.type,
            heartbeat.zone(),
            heartbeat.spot(),
            reply.revision());
    if (previous != null) {
      machine.cachedImages().addAll(previous.cachedImages());
    }
    LOG.debug(
        "machine {} ({}, {}) adopted under term {} (reported {})",
        machine.id(),
        heartbeat.type(),
        heartbeat.zone(),
        machine.fencingToken(),
        heartbeat.fencingToken());
    arrival.reply.accept(heartbeatHandler.handle(machine, heartbeat));
  }
}
