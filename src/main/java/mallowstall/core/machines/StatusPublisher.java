package mallowstall.core.machines;

import it.unimi.dsi.fastutil.longs.Long2LongLinkedOpenHashMap;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import mallowstall.Constants;
import mallowstall.core.cluster.CancellationExchange;
import mallowstall.core.cluster.ClusterView;
import mallowstall.core.cluster.PeerState;
import mallowstall.core.kernel.Effects;
import mallowstall.core.kernel.EventClock;
import mallowstall.core.kernel.EventLoopLag;
import mallowstall.core.kernel.Metrics;
import mallowstall.core.kv.StateStore;
import mallowstall.core.machines.ManagedMachine.Reservation;
import mallowstall.core.model.CoreSettings;
import mallowstall.core.model.MachineStatus;
import mallowstall.core.model.StartRejection;
import mallowstall.core.model.StartRequest;
import mallowstall.core.model.StatusUpdate;
import mallowstall.core.model.TaskAttempt;
import mallowstall.core.model.TaskReport;
import mallowstall.core.model.TaskState;
import mallowstall.core.model.TaskStatus;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Tells every peer, and this controller's own view, what is on its machines: numbered statements of
 * which each carries what has changed since the last that the receiver has taken in. Mutable.
 */
public final class StatusPublisher {
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.owner");

  private final EventClock clock;
  private final EventLoopLag lag;
  private final CoreSettings settings;
  private final Effects effects;
  private final Metrics metrics;
  private final ClusterView view;
  private final CancellationExchange cancellations;
  private final Consumer<StatusUpdate> localDelivery;
  private final StateStore store;
  private final ManagedMachines machines;

  /** Refusals that the next statement tells. */
  private final List<StartRejection> rejections = new ArrayList<>();

  /** Whether something is to be told soon. */
  private boolean publishRequested;

  private long lastPublishMs;
  private long updateNumber;

  /** When the newest statements were made. */
  private final Long2LongLinkedOpenHashMap createdAtMs = new Long2LongLinkedOpenHashMap();

  /** Machines no longer owned, with the statement that said so. */
  private final Map<String, Long> tombstones = new LinkedHashMap<>();

  /** Statements up to this one can't be built upon: what went since then is forgotten. */
  private long tombstonesPrunedThrough;

  /** Wires this module to the ones that it uses; it does nothing before its first event. */
  public StatusPublisher(
      EventClock clock,
      EventLoopLag lag,
      CoreSettings settings,
      Effects effects,
      Metrics metrics,
      StateStore store,
      ClusterView view,
      CancellationExchange cancellations,
      Consumer<StatusUpdate> localDelivery,
      ManagedMachines machines) {
    this.clock = clock;
    this.lag = lag;
    this.settings = settings;
    this.effects = effects;
    this.metrics = metrics;
    this.view = view;
    this.cancellations = cancellations;
    this.localDelivery = localDelivery;
    this.store = store;
    this.machines = machines;
  }

  /** Something has changed that is to be told soon. */
  public void requestPublish() {
    publishRequested = true;
  }

  /** The next statement refuses the start by name. */
  void rejectStart(StartRequest start, String reason) {
    LOG.debug(
        "not possible: {}/{} attempt {} on {}: {}",
        start.job(),
        start.task(),
        start.attempt(),
        start.machine(),
        reason);
    metrics.increment("refusals");
    rejections.add(
        new StartRejection(start.machine(), start.job(), start.task(), start.attempt(), reason));
    publishRequested = true;
  }

  /** Publishes when something has changed, and at least once in a while. */
  void tick(long now) {
    long elapsedMs = now - lastPublishMs;
    long minGapMs = lag.stretchedGapMs(Constants.STATUS_UPDATE_INTERVAL_MIN_MS);
    if ((publishRequested && elapsedMs >= minGapMs)
        || elapsedMs >= Constants.STATUS_UPDATE_INTERVAL_MS) {
      publish();
    }
  }

  private void publish() {
    if (store.incarnation() == 0 || !store.synced()) {
      return;
    }
    publishRequested = false;
    long now = clock.now();
    lastPublishMs = now;
    updateNumber++;
    createdAtMs.put(updateNumber, now);
    if (createdAtMs.size() > Constants.STATUS_UPDATE_TIMES_MAX) {
      createdAtMs.removeFirstLong();
    }
    List<ManagedMachine> changed = collectChanges(now);
    List<StartRejection> newRejections = new ArrayList<>(rejections);
    rejections.clear();
    for (String peerNode : settings.peers()) {
      PeerState peer = view.peer(peerNode);
      effects.send(peerNode, buildStatusUpdate(peer, now - store.freshAtMs(), newRejections));
    }
    PeerState sender = view.peer(settings.node());
    List<MachineStatus> statuses = new ArrayList<>();
    for (ManagedMachine machine : changed) {
      statuses.add(machine.publishedStatus());
    }
    localDelivery.accept(
        new StatusUpdate(
            settings.node(),
            store.incarnation(),
            updateNumber,
            sender.serial(),
            store.incarnation(),
            updateNumber,
            store.revision(),
            sender.lastStartsIncarnation(),
            sender.lastStartsConnection(),
            sender.lastStartsSequence(),
            0,
            List.of(),
            statuses,
            removedSince(sender.serial()),
            newRejections));
  }

  /** What the peer doesn't know for certain yet, or all if it can't be told as a difference. */
  private StatusUpdate buildStatusUpdate(
      PeerState peer, long replicaAgeMs, List<StartRejection> newRejections) {
    long baseUpdate =
        peer.acknowledgedSerial() >= tombstonesPrunedThrough ? peer.acknowledgedSerial() : 0;
    List<MachineStatus> statuses = new ArrayList<>();
    for (ManagedMachine machine : machines.all()) {
      if (machine.publishedUpdateNumber() > baseUpdate) {
        statuses.add(machine.publishedStatus());
      }
    }
    // to acknowledge what it said would vouch for all cancellations newer than its mirror
    boolean acknowledges =
        peer.replicaRevision() > 0 && cancellations.retainsSince(peer.replicaRevision());
    return new StatusUpdate(
        settings.node(),
        store.incarnation(),
        updateNumber,
        baseUpdate,
        acknowledges ? peer.incarnation() : 0,
        acknowledges ? peer.serial() : 0,
        store.revision(),
        peer.lastStartsIncarnation(),
        peer.lastStartsConnection(),
        peer.lastStartsSequence(),
        replicaAgeMs,
        acknowledges ? cancellations.cancelledSince(peer.replicaRevision()) : List.of(),
        statuses,
        baseUpdate == 0 ? List.of() : removedSince(baseUpdate),
        newRejections);
  }

  /** When this statement was made; never, if it is forgotten or unknown. */
  public long statusUpdateSentAtMs(long updateNumber) {
    return createdAtMs.getOrDefault(updateNumber, Long.MIN_VALUE / 2);
  }

  private List<String> removedSince(long since) {
    List<String> removed = new ArrayList<>();
    tombstones.forEach(
        (id, removedIn) -> {
          if (removedIn > since && !machines.contains(id)) {
            removed.add(id);
          }
        });
    return removed;
  }

  /** The machine is no longer this controller's, which the next statement says. */
  void releaseMachine(String id) {
    if (!machines.remove(id)) {
      return;
    }
    tombstones.put(id, updateNumber + 1);
    publishRequested = true;
    if (tombstones.size() > Constants.RELEASED_MACHINES_MAX) {
      tombstonesPrunedThrough = updateNumber + 1;
      tombstones.clear();
    }
  }

  /** Makes the new statement: every machine of which something else is to be said than before. */
  private List<ManagedMachine> collectChanges(long now) {
    List<ManagedMachine> changed = new ArrayList<>();
    for (ManagedMachine machine : machines.all()) {
      boolean publishedRecently =
          machine.publishedStatus() != null
              && now - machine.publishedAtMs() < Constants.MACHINE_STATUS_REFRESH_MS;
      if (publishedRecently && !machine.statusChanged() && !changedByTime(machine, now)) {
        continue;
      }
      machine.setStatusChanged(false);
      MachineStatus status = statusOf(machine, now);
      if (publishedRecently && status.sameIgnoringElapsedTime(machine.publishedStatus())) {
        continue;
      }
      machine.setPublishedStatus(status);
      machine.setPublishedUpdateNumber(updateNumber);
      machine.setPublishedAtMs(now);
      changed.add(machine);
      for (TaskReport task : machine.tasks().values()) {
        if (task.state() == TaskState.EXITED && machines.restartsAfterExit(task)) {
          machine.publishedExits().put(TaskAttempt.of(task).key(), task.attempt());
        }
      }
    }
    return changed;
  }

  /** Whether time alone has changed what is to be said of a machine. */
  private boolean changedByTime(ManagedMachine machine, long now) {
    return machines.usable(machine) != machine.publishedStatus().usable()
        || machines.unresponsive(machine) != machine.publishedStatus().unresponsive()
        || (machine.drainUntilMs() > now) != machine.publishedStatus().draining();
  }

  /**
   * The machines of which the last statement says something else than what is known, although
   * nothing marks them to be told anew; none, or a start could pass for one that never arrived. For
   * comparison with the slow way, which is to tell all each time.
   */
  public List<String> unpublishedChanges() {
    List<String> machineIds = new ArrayList<>();
    long now = clock.now();
    for (ManagedMachine machine : machines.all()) {
      if (machine.publishedStatus() == null
          || machine.statusChanged()
          || changedByTime(machine, now)) {
        continue;
      }
      if (!statusOf(machine, now).sameIgnoringElapsedTime(machine.publishedStatus())) {
        machineIds.add(machine.id());
      }
    }
    return machineIds;
  }

  private MachineStatus statusOf(ManagedMachine machine, long now) {
    List<TaskStatus> taskStatuses =
        new ArrayList<>(machine.tasks().size() + machine.reservations().size());
    for (TaskReport task : machine.tasks().values()) {
      taskStatuses.add(
          new TaskStatus(task.job(), task.task(), task.attempt(), task.state(), task.exitReason()));
    }
    for (Reservation reservation : machine.reservations().values()) {
      taskStatuses.add(
          new TaskStatus(
              reservation.request.job(),
              reservation.request.task(),
              reservation.request.attempt(),
              null,
              null));
    }
    double[] free = machines.freeResources(machine);
    boolean idle = machine.idle();
    return new MachineStatus(
        machine.id(),
        machine.address(),
        machine.fencingToken(),
        machine.modRevision(),
        machine.workerSession(),
        machine.latestHeartbeatSequence(),
        machine.tokenAcknowledged(),
        machines.usable(machine),
        machine.drainUntilMs() > now,
        machine.faulty(),
        machines.unresponsive(machine),
        machine.leaseExpired(),
        machine.type().name(),
        machine.zone(),
        machine.spot(),
        machine.terminationDeadlineMs() == Long.MAX_VALUE
            ? -1
            : Math.max(0, (machine.terminationDeadlineMs() - now) / 1000.0),
        free[0],
        free[1],
        free[2],
        machine.leaseExpired() || machines.unresponsive(machine)
            ? Math.max(1, now - machine.lastHeartbeatMs())
            : idle && machine.idleSinceMs() > 0 ? Math.max(1, now - machine.idleSinceMs()) : 0,
        List.copyOf(machine.cachedImages()),
        taskStatuses);
  }
}
