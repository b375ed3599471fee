package mallowstall.core;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import mallowstall.Constants;
import mallowstall.core.Effects.Code;
import mallowstall.core.Effects.TxnReply;
import mallowstall.core.Model.CoreSettings;
import mallowstall.core.Model.MachineRec;
import mallowstall.core.Model.MachineType;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Machines that a new process of this controller takes over from its former one, which is dead.
 * Mutable.
 */
final class ReclaimedMachines {
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.owner");

  private final EventClock clock;
  private final CoreSettings settings;
  private final MachineTypeCatalog types;
  private final Store store;
  private final OwnedMachines machines;
  private final MachineRecords records;
  private final RosterPublisher publisher;

  /** Machines being asked for, and whether another controller has owned them since. */
  private final Map<String, Boolean> reclaiming = new HashMap<>();

  /** Machines still to be asked for; null: not looked for yet. */
  private ArrayDeque<String> waiting;

  ReclaimedMachines(
      EventClock clock,
      CoreSettings settings,
      Store store,
      MachineTypeCatalog types,
      OwnedMachines machines,
      MachineRecords records,
      RosterPublisher publisher) {
    this.clock = clock;
    this.settings = settings;
    this.types = types;
    this.store = store;
    this.machines = machines;
    this.records = records;
    this.publisher = publisher;
  }

  /**
   * Another controller owned the machine between the record that this one took over from its former
   * process and its own. That one may have answered the worker since, so the lease doesn't count
   * from the former process's end: the machine can't be written off before it is confirmed.
   */
  void overtaken(String id, MachineRec record) {
    ownedBetween(id, record);
    OwnedMachine machine = machines.get(id);
    if (machine != null && machine.reclaimed && !record.node().equals(settings.node())) {
      machine.disputed = true;
    }
  }

  /** The same, told while the record is still being asked for. */
  void ownedBetween(String id, MachineRec record) {
    if (!record.node().equals(settings.node())) {
      reclaiming.computeIfPresent(id, (k, v) -> true);
    }
  }

  /**
   * Takes over what stands in the former process's name, a few at a time: each takes a change of
   * its own. Asked for at once, hundreds used up the state service's rate for ten seconds, in which
   * none of the machines that came back by themselves could be taken over.
   */
  void reclaim() {
    if (waiting == null) {
      waiting = new ArrayDeque<>(formerMachines());
    }
    while (!waiting.isEmpty() && reclaiming.size() < Constants.RECLAIMED_AT_ONCE) {
      String id = waiting.poll();
      MachineRec record = store.machine(id);
      MachineType type = isFormer(record) ? types.find(record.type()) : null;
      if (type != null && !machines.contains(id) && !records.underWay(id)) {
        reclaim(id, type, record);
      }
    }
  }

  private List<String> formerMachines() {
    List<String> former = new ArrayList<>();
    for (Map.Entry<String, Store.Held> entry : store.under(Store.MACHINES).entrySet()) {
      if (isFormer((MachineRec) entry.getValue().value())) {
        former.add(entry.getKey().substring(Store.MACHINES.length()));
      }
    }
    return former;
  }

  /**
   * Whether the record names a former process of this controller: that process is dead, so nobody
   * answers the machine unless it has gone to another controller, which {@link #overtaken} tells at
   * the latest before the write-off.
   */
  private boolean isFormer(MachineRec record) {
    return record != null
        && record.node().equals(settings.node())
        && record.incarnation() != store.incarnation();
  }

  private void reclaim(String id, MachineType type, MachineRec record) {
    records.begin(id, clock.now());
    reclaiming.put(id, false);
    Consumer<TxnReply> then =
        reply -> {
          records.end(id);
          boolean between = reclaiming.remove(id);
          if (reply.code() == Code.OK && !machines.contains(id)) {
            reclaimed(id, type, record, reply.revision(), between);
          }
        };
    if (!records.write(id, record.type(), record.zone(), record.spot(), then)) {
      records.end(id);
      reclaiming.remove(id);
    }
  }

  private void reclaimed(
      String id, MachineType type, MachineRec record, long revision, boolean disputed) {
    OwnedMachine machine = machines.add(id, type, record.zone(), record.spot(), revision);
    machine.reclaimed = true;
    machine.disputed = disputed;
    // the former process may have answered until just before this one began
    machine.answeredAt = clock.startedAt();
    machine.heardAt = clock.now() - Constants.SILENT_MS;
    LOG.info("machine {} kept from the former process, term {}", id, machine.term);
    publisher.touch();
  }
}
