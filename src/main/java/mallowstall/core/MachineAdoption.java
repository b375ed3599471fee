package mallowstall.core;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.StringJoiner;
import java.util.function.Consumer;
import mallowstall.Constants;
import mallowstall.core.Effects.Code;
import mallowstall.core.Effects.TxnReply;
import mallowstall.core.Model.CoreSettings;
import mallowstall.core.Model.GroupMachine;
import mallowstall.core.Model.MachineRec;
import mallowstall.core.Model.MachineType;
import mallowstall.core.Model.Report;
import mallowstall.core.Model.ReportAnswer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Takes over machines that turn to this controller: those that come together share one change.
 * Reports that may be late copies are refused, or sent to the machine's live owner. Mutable.
 */
final class MachineAdoption {
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.owner");

  private final EventClock clock;
  private final CoreSettings settings;
  private final View view;
  private final MachineTypeCatalog types;
  private final Membership membership;
  private final Store store;
  private final WorkerReports reports;
  private final OwnedMachines machines;
  private final MachineRecords records;

  /** New machines sent to another controller, and when. */
  private final Map<String, Long> redirected = new HashMap<>();

  /** Machines sent back to their live owner, and when. */
  private final Map<String, Long> sentBack = new HashMap<>();

  /** Machines whose record was dropped, since they were returned; names are never used again. */
  private final Set<String> returned = new LinkedHashSet<>();

  private final List<Arriving> arriving = new ArrayList<>();

  /** Whether the next batch of {@link #arriving} is planned. */
  private boolean batchPlanned;

  /** Changes that are unanswered. */
  private int adoptionsOpen;

  private long batchSentAt;

  MachineAdoption(
      EventClock clock,
      CoreSettings settings,
      Store store,
      View view,
      MachineTypeCatalog types,
      Membership membership,
      OwnedMachines machines,
      MachineRecords records,
      WorkerReports reports) {
    this.clock = clock;
    this.settings = settings;
    this.view = view;
    this.types = types;
    this.membership = membership;
    this.store = store;
    this.reports = reports;
    this.machines = machines;
    this.records = records;
  }

  /** The machine's record was dropped: reports that still come are late copies. */
  void returned(String machine) {
    returned.add(machine);
    if (returned.size() > Constants.GONE_KEPT) {
      returned.remove(returned.iterator().next());
    }
  }

  /** Forgets whom it sent back so long ago that they may be sent again. */
  void expire(long now) {
    sentBack.values().removeIf(at -> now - at > Constants.REDIRECT_AGAIN_MS);
  }

  /**
   * Whether the report is an old one that comes late: its machine is gone, or its owner has told of
   * a newer one. Taking it for the worker itself would take the machine from its live owner, or
   * bring back a machine that was returned.
   */
  private boolean stale(Report report) {
    // Records are made before the first token is shown and dropped once the machine is returned.
    if (report.token() > 0 && store.machine(report.machine()) == null) {
      return true;
    }
    if (returned.contains(report.machine())) {
      return true;
    }
    View.Seen machine = view.machines.get(report.machine());
    if (machine == null || machine.state == null || report.session() > machine.state.session()) {
      return false;
    }
    return report.session() < machine.state.session()
        || machine.state.lost()
        || report.seq() <= machine.state.seq();
  }

  /**
   * The recorded owner, if it lives, is served and still hears the machine by what it has just
   * told: the report may be a late copy that is newer than the last statement. Only once in a
   * while, so that a worker that can't reach its owner any more is soon taken over.
   */
  private String liveOwner(Report report, long now) {
    MachineRec old = store.machine(report.machine());
    View.Seen machine = view.machines.get(report.machine());
    if (old == null
        || machine == null
        || machine.state == null
        || old.node().equals(settings.node())) {
      return null;
    }
    View.Peer peer = view.peer(old.node());
    boolean heard =
        store.live(old.node(), old.incarnation())
            && old.node().equals(machine.owner)
            && machine.state.token() == old.token()
            && machine.state.confirmed()
            && !machine.state.silent()
            && now - peer.rosterAt < Constants.ROSTER_EVERY_MS + Constants.ROSTER_LATE_MS
            && now - peer.mirrorFreshAt < Constants.CUT_OFF_MS + Constants.WATCH_HOLD_MS;
    Long before = sentBack.get(report.machine());
    return heard && (before == null || now - before > Constants.REDIRECT_AGAIN_MS)
        ? old.node()
        : null;
  }

  /** Makes this controller the recorded owner, under a larger token, before the first 200. */
  void adopt(Report report, Consumer<ReportAnswer> reply) {
    long now = clock.now();
    MachineType type = types.find(report.type());
    if (type == null) {
      reply.accept(ReportAnswer.unable());
      return;
    }
    if (stale(report)) {
      reply.accept(ReportAnswer.unable());
      return;
    }
    String owner = liveOwner(report, now);
    if (owner != null) {
      sentBack.put(report.machine(), now);
      reply.accept(ReportAnswer.elsewhere(owner));
      return;
    }
    String better = betterOwner(report, now);
    if (better != null) {
      reply.accept(ReportAnswer.elsewhere(better));
      return;
    }
    Long since = records.underWaySince(report.machine());
    if (since != null && now - since < 3 * Constants.STATE_TIMEOUT_MS) {
      reply.accept(ReportAnswer.unable());
      return;
    }
    if (!store.sessionGood()) {
      reply.accept(ReportAnswer.unable());
      return;
    }
    records.begin(report.machine(), now);
    arriving.add(new Arriving(report, type, reply));
    planBatch();
  }

  /** The controller that a new machine should report to, if another; told only once in a while. */
  private String betterOwner(Report report, long now) {
    if (report.token() != 0) {
      return null;
    }
    String better = membership.preferredLeader(report.machine(), report.zone());
    Long before = redirected.get(report.machine());
    boolean told = before != null && now - before <= Constants.REDIRECT_AGAIN_MS;
    if (better.equals(settings.node()) || told) {
      return null;
    }
    redirected.put(report.machine(), now);
    if (redirected.size() > Constants.REDIRECTS_KEPT) {
      redirected.clear();
    }
    return better;
  }

  private void planBatch() {
    if (batchPlanned) {
      return;
    }
    batchPlanned = true;
    clock.schedule(Constants.ADOPT_JOIN_MS, this::adoptAll);
  }

  /** A machine that has turned here, and who waits for the answer. */
  private record Arriving(Report report, MachineType type, Consumer<ReportAnswer> reply) {}

  /**
   * Takes over the machines that have turned here since, in as few changes as can be. No comparison
   * of their records is needed: whoever writes later owns them, under the larger token, which is
   * the revision of the change.
   */
  private void adoptAll() {
    batchPlanned = false;
    // While changes wait for the state service's rate, more machines join the next batch. With one
    // change for every 40 ms the queue outgrew the 4 s for which workers wait: each turned to the
    // next controller, was adopted there as late, and so on for a minute.
    boolean waits = adoptionsOpen > 0 && clock.now() - batchSentAt < Constants.ADOPT_WAIT_MS;
    if (waits) {
      planBatch();
      return;
    }
    batchSentAt = clock.now();
    List<Arriving> all = new ArrayList<>(arriving);
    arriving.clear();
    int most = Math.max(1, settings.valueBytes() / Constants.GROUP_BYTES - 2);
    List<Arriving> part;
    for (int from = 0; from < all.size(); from += part.size()) {
      part = fitting(all.subList(from, Math.min(all.size(), from + most)));
      adopt(part);
    }
  }

  /** As many of the machines as fit one value, with the names that they really have. */
  private List<Arriving> fitting(List<Arriving> some) {
    return ValueSize.fitting(some, part -> records.groupSize(members(part)), settings.valueBytes());
  }

  private static List<GroupMachine> members(List<Arriving> part) {
    List<GroupMachine> members = new ArrayList<>();
    for (Arriving arrival : part) {
      Report report = arrival.report;
      members.add(new GroupMachine(report.machine(), report.type(), report.zone(), report.spot()));
    }
    return members;
  }

  /** Takes these machines over in one change. */
  private void adopt(List<Arriving> part) {
    adoptionsOpen++;
    Consumer<TxnReply> then =
        reply -> {
          adoptionsOpen--;
          logAdoption(part, reply);
          part.forEach(arrival -> adopted(arrival, reply));
        };
    if (!write(part, then)) {
      then.accept(new TxnReply(Code.REFUSED, 0));
    }
  }

  /** One line a change: a line a machine cost more than what it told when hundreds came at once. */
  private static void logAdoption(List<Arriving> part, TxnReply reply) {
    if (reply.code() != Code.OK || !LOG.isInfoEnabled()) {
      return;
    }
    StringJoiner names = new StringJoiner(" ");
    for (Arriving arrival : part) {
      names.add(arrival.report.machine());
    }
    LOG.info("adopted under term {}: {}", reply.revision(), names);
  }

  private boolean write(List<Arriving> part, Consumer<TxnReply> then) {
    if (part.size() > 1) {
      return records.writeGroup(members(part), then);
    }
    Report report = part.get(0).report;
    return records.write(report.machine(), report.type(), report.zone(), report.spot(), then);
  }

  private void adopted(Arriving arrival, TxnReply reply) {
    Report report = arrival.report;
    records.end(report.machine());
    Store.Held now = store.held(Store.MACHINES + report.machine());
    if (reply.code() != Code.OK || now == null || now.version() != reply.revision()) {
      // not written, or somebody has written since
      arrival.reply.accept(ReportAnswer.unable());
      return;
    }
    OwnedMachine before = machines.get(report.machine());
    OwnedMachine machine =
        machines.add(
            report.machine(), arrival.type, report.zone(), report.spot(), reply.revision());
    if (before != null) {
      machine.images.addAll(before.images);
    }
    LOG.debug(
        "machine {} ({}, {}) adopted under term {} (reported {})",
        machine.id,
        report.type(),
        report.zone(),
        machine.term,
        report.token());
    arrival.reply.accept(reports.handle(machine, report));
  }
}
