package mallowstall.core;

import it.unimi.dsi.fastutil.longs.Long2LongLinkedOpenHashMap;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import mallowstall.Constants;
import mallowstall.core.Model.CoreSettings;
import mallowstall.core.Model.Refusal;
import mallowstall.core.Model.Roster;
import mallowstall.core.Model.RosterMachine;
import mallowstall.core.Model.RosterTask;
import mallowstall.core.Model.StartOrder;
import mallowstall.core.Model.TaskReport;
import mallowstall.core.Model.TaskState;
import mallowstall.core.OwnedMachine.Reservation;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Tells every peer, and this controller's own view, what is on its machines: numbered statements of
 * which each carries what has changed since the last that the receiver has taken in. Mutable.
 */
final class RosterPublisher {
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.owner");

  private final EventClock clock;
  private final OwnLag lag;
  private final CoreSettings settings;
  private final Effects effects;
  private final Metrics metrics;
  private final View view;
  private final Cancellations cancellations;
  private final Consumer<Roster> localDelivery;
  private final Store store;
  private final OwnedMachines machines;

  /** Refusals that the next statement tells. */
  private final List<Refusal> refusals = new ArrayList<>();

  /** Whether something is to be told soon. */
  private boolean dirty;

  private long lastRoster;
  private long serial;

  /** When the newest statements were made. */
  private final Long2LongLinkedOpenHashMap madeAt = new Long2LongLinkedOpenHashMap();

  /** Machines no longer owned, with the statement that said so. */
  private final Map<String, Long> gone = new LinkedHashMap<>();

  /** Statements up to this one can't be built upon: what went since then is forgotten. */
  private long forgotten;

  RosterPublisher(
      EventClock clock,
      OwnLag lag,
      CoreSettings settings,
      Effects effects,
      Metrics metrics,
      Store store,
      View view,
      Cancellations cancellations,
      Consumer<Roster> localDelivery,
      OwnedMachines machines) {
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
  void touch() {
    dirty = true;
  }

  /** The next statement refuses the start by name. */
  void refuse(StartOrder start, String why) {
    LOG.debug(
        "not possible: {}/{} attempt {} on {}: {}",
        start.job(),
        start.task(),
        start.attempt(),
        start.machine(),
        why);
    metrics.count("refusals");
    refusals.add(new Refusal(start.machine(), start.job(), start.task(), start.attempt(), why));
    dirty = true;
  }

  /** Publishes when something has changed, and at least once in a while. */
  void tick(long now) {
    long since = now - lastRoster;
    long gap = lag.stretched(Constants.ROSTER_GAP_MS);
    if ((dirty && since >= gap) || since >= Constants.ROSTER_EVERY_MS) {
      publish();
    }
  }

  private void publish() {
    if (store.incarnation() == 0 || !store.synced()) {
      return;
    }
    dirty = false;
    long now = clock.now();
    lastRoster = now;
    serial++;
    madeAt.put(serial, now);
    if (madeAt.size() > Constants.STATEMENTS_DATED) {
      madeAt.removeFirstLong();
    }
    List<OwnedMachine> changed = collectChanges(now);
    List<Refusal> no = new ArrayList<>(refusals);
    refusals.clear();
    for (String p : settings.peers()) {
      View.Peer peer = view.peer(p);
      effects.send(p, roster(peer, now - store.freshAt(), no));
    }
    View.Peer sender = view.peer(settings.node());
    List<RosterMachine> mine = new ArrayList<>();
    for (OwnedMachine machine : changed) {
      mine.add(machine.published);
    }
    localDelivery.accept(
        new Roster(
            settings.node(),
            store.incarnation(),
            serial,
            sender.serial,
            store.incarnation(),
            serial,
            store.revision(),
            sender.receivedIncarnation,
            sender.receivedConnection,
            sender.receivedSequence,
            0,
            List.of(),
            mine,
            goneSince(sender.serial),
            no));
  }

  /** What the peer doesn't know for certain yet, or all if it can't be told as a difference. */
  private Roster roster(View.Peer peer, long sinceMirror, List<Refusal> no) {
    long since = peer.takenInSerial >= forgotten ? peer.takenInSerial : 0;
    List<RosterMachine> ms = new ArrayList<>();
    for (OwnedMachine machine : machines.all()) {
      if (machine.publishedSerial > since) {
        ms.add(machine.published);
      }
    }
    // to acknowledge what it said would vouch for all cancellations newer than its mirror
    boolean vouches = peer.rosterRevision > 0 && cancellations.keeps(peer.rosterRevision);
    return new Roster(
        settings.node(),
        store.incarnation(),
        serial,
        since,
        vouches ? peer.heardIncarnation : 0,
        vouches ? peer.heardSerial : 0,
        store.revision(),
        peer.receivedIncarnation,
        peer.receivedConnection,
        peer.receivedSequence,
        sinceMirror,
        vouches ? cancellations.since(peer.rosterRevision) : List.of(),
        ms,
        since == 0 ? List.of() : goneSince(since),
        no);
  }

  /** When this statement was made; never, if it is forgotten or unknown. */
  long statementSentAt(long serial) {
    return madeAt.getOrDefault(serial, Long.MIN_VALUE / 2);
  }

  private List<String> goneSince(long since) {
    List<String> out = new ArrayList<>();
    gone.forEach(
        (id, in) -> {
          if (in > since && !machines.contains(id)) {
            out.add(id);
          }
        });
    return out;
  }

  /** The machine is no longer this controller's, which the next statement says. */
  void disown(String id) {
    if (!machines.remove(id)) {
      return;
    }
    gone.put(id, serial + 1);
    dirty = true;
    if (gone.size() > Constants.GONE_KEPT) {
      forgotten = serial + 1;
      gone.clear();
    }
  }

  /** Makes the new statement: every machine of which something else is to be said than before. */
  private List<OwnedMachine> collectChanges(long now) {
    List<OwnedMachine> changed = new ArrayList<>();
    for (OwnedMachine machine : machines.all()) {
      boolean lately =
          machine.published != null && now - machine.publishedAt < Constants.RESTATE_MS;
      if (lately && !machine.changed && !changedByTime(machine, now)) {
        continue;
      }
      machine.changed = false;
      RosterMachine state = stateOf(machine, now);
      if (lately && state.sameAs(machine.published)) {
        continue;
      }
      machine.published = state;
      machine.publishedSerial = serial;
      machine.publishedAt = now;
      changed.add(machine);
      for (TaskReport task : machine.tasks.values()) {
        if (task.state() == TaskState.EXITED && machines.runsAgain(task)) {
          machine.announcedEnds.put(TaskAttempt.of(task).key(), task.attempt());
        }
      }
    }
    return changed;
  }

  /** Whether time alone has changed what is to be said of a machine. */
  private boolean changedByTime(OwnedMachine machine, long now) {
    return machines.usable(machine) != machine.published.usable()
        || machines.silent(machine) != machine.published.silent()
        || (machine.drainUntil > now) != machine.published.draining();
  }

  /**
   * The machines of which the last statement says something else than what is known, although
   * nothing marks them to be told anew; none, or a start could pass for one that never arrived. For
   * comparison with the slow way, which is to tell all each time.
   */
  List<String> unpublishedChanges() {
    List<String> out = new ArrayList<>();
    long now = clock.now();
    for (OwnedMachine machine : machines.all()) {
      if (machine.published == null || machine.changed || changedByTime(machine, now)) {
        continue;
      }
      if (!stateOf(machine, now).sameAs(machine.published)) {
        out.add(machine.id);
      }
    }
    return out;
  }

  private RosterMachine stateOf(OwnedMachine machine, long now) {
    List<RosterTask> ts = new ArrayList<>(machine.tasks.size() + machine.reservations.size());
    for (TaskReport task : machine.tasks.values()) {
      ts.add(new RosterTask(task.job(), task.task(), task.attempt(), task.state(), task.why()));
    }
    for (Reservation booked : machine.reservations.values()) {
      ts.add(
          new RosterTask(
              booked.order.job(), booked.order.task(), booked.order.attempt(), null, null));
    }
    double[] free = machines.free(machine);
    boolean idle = machine.idle();
    return new RosterMachine(
        machine.id,
        machine.address,
        machine.term,
        machine.version,
        machine.session,
        machine.newestReport,
        machine.confirmed,
        machines.usable(machine),
        machine.drainUntil > now,
        machine.faulty,
        machines.silent(machine),
        machine.lost,
        machine.type.name(),
        machine.zone,
        machine.spot,
        machine.noticeUntil == Long.MAX_VALUE
            ? -1
            : Math.max(0, (machine.noticeUntil - now) / 1000.0),
        free[0],
        free[1],
        free[2],
        machine.lost || machines.silent(machine)
            ? Math.max(1, now - machine.heardAt)
            : idle && machine.idleSince > 0 ? Math.max(1, now - machine.idleSince) : 0,
        List.copyOf(machine.images),
        ts);
  }
}
