package mallowstall.core;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import mallowstall.Constants;
import mallowstall.core.Effects.Code;
import mallowstall.core.Effects.TxnReply;
import mallowstall.core.Model.CoreSettings;
import mallowstall.core.Model.MachineRec;
import mallowstall.core.Model.MachineType;
import mallowstall.core.Model.Report;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Takes machines from a controller whose session is gone but which may still answer them.
 *
 * <p>A controller without state service and peers may go on answering its workers after its session
 * is gone; they never turn to another then, and every job taken over would wait for them. So each
 * is asked directly, by one of the others, and shown a larger term: from then on it drops what its
 * former owner says, which sends it away in turn when it sees that term. What can't be reached, as
 * in a zone that is cut off, is left alone. Mutable.
 */
final class OrphanTakeover {
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.owner");

  private final EventClock clock;
  private final CoreSettings settings;
  private final Effects effects;
  private final View view;
  private final MachineTypeCatalog types;
  private final Membership membership;
  private final Store store;
  private final WorkerReports reports;
  private final OwnedMachines machines;
  private final MachineRecords records;

  /** Machines whose recorded owner is gone, since when. */
  private final Map<String, Long> orphanSince = new HashMap<>();

  /** When such machines were last asked. */
  private final Map<String, Long> asked = new HashMap<>();

  private long next;

  OrphanTakeover(
      EventClock clock,
      CoreSettings settings,
      Effects effects,
      Store store,
      View view,
      MachineTypeCatalog types,
      Membership membership,
      OwnedMachines machines,
      MachineRecords records,
      WorkerReports reports) {
    this.clock = clock;
    this.settings = settings;
    this.effects = effects;
    this.view = view;
    this.types = types;
    this.membership = membership;
    this.store = store;
    this.reports = reports;
    this.machines = machines;
    this.records = records;
  }

  /** Asks some of the machines whose recorded owner is gone. */
  void tick(long now) {
    if (now < next || !store.sessionGood()) {
      return;
    }
    next = now + Constants.ORPHANS_ASKED_EVERY_MS;
    Set<String> orphans = new HashSet<>();
    int left = Constants.ORPHANS_ASKED_AT_ONCE;
    for (Map.Entry<String, Store.Held> entry : store.under(Store.MACHINES).entrySet()) {
      MachineRec record = (MachineRec) entry.getValue().value();
      if (store.live(record.node(), record.incarnation())) {
        continue;
      }
      String id = entry.getKey().substring(Store.MACHINES.length());
      orphans.add(id);
      orphanSince.putIfAbsent(id, now);
      if (left > 0 && due(id, record, now)) {
        left--;
        ask(id, record, now);
      }
    }
    orphanSince.keySet().retainAll(orphans);
    asked.keySet().retainAll(orphans);
  }

  /** Whether it is for this controller to ask the machine now. */
  private boolean due(String id, MachineRec record, long now) {
    View.Seen machine = view.machines.get(id);
    return now - orphanSince.get(id) >= Constants.ORPHAN_ASKED_AFTER_MS
        && machine != null
        && machine.state != null
        && machine.state.addr() != null
        && !records.underWay(id)
        && now - asked.getOrDefault(id, Long.MIN_VALUE / 2) >= Constants.ORPHAN_ASKED_AGAIN_MS
        && membership.preferredLeader(id, record.zone()).equals(settings.node());
  }

  private void ask(String id, MachineRec record, long now) {
    asked.put(id, now);
    String address = view.machines.get(id).state.addr();
    // no session is 0, so this is refused, with the worker's report
    effects.order(address, 0, 0, List.of(), reply -> takeOver(id, record, reply.report()));
  }

  /** The machine has answered: unless its record has changed since, it is this controller's. */
  private void takeOver(String id, MachineRec old, Report report) {
    MachineType type = types.find(old.type());
    MachineRec now = store.machine(id);
    if (report == null || !report.machine().equals(id) || type == null || !old.equals(now)) {
      return;
    }
    if (records.underWay(id) || machines.contains(id)) {
      return;
    }
    records.begin(id, clock.now());
    Consumer<TxnReply> then =
        reply -> {
          records.end(id);
          if (reply.code() == Code.OK && !machines.contains(id)) {
            taken(id, type, old, report, reply.revision());
          }
        };
    if (!records.write(id, old.type(), old.zone(), old.spot(), then)) {
      records.end(id);
    }
  }

  private void taken(String id, MachineType type, MachineRec old, Report report, long revision) {
    OwnedMachine machine = machines.add(id, type, old.zone(), old.spot(), revision);
    // until it shows the new term, its former owner may renew its lease
    machine.answeredAt = clock.now();
    reports.take(machine, report, false);
    LOG.info("machine {} taken from {}, which is gone, term {}", id, old.node(), machine.term);
    showTerm(machine);
  }

  /** Shows the worker the term without any command. */
  private void showTerm(OwnedMachine machine) {
    effects.order(
        machine.address,
        machine.term,
        machine.session,
        List.of(),
        reply -> {
          Report report = reply.report();
          if (!machines.has(machine) || reply.code() != Code.OK || report == null) {
            return;
          }
          machine.answeredAt = clock.now();
          if (report.session() > machine.session || report.seq() > machine.newestReport) {
            reports.take(machine, report, false);
          }
        });
  }
}
