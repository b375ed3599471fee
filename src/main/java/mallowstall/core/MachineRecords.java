package mallowstall.core;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import mallowstall.Constants;
import mallowstall.core.Effects.Cond;
import mallowstall.core.Effects.Put;
import mallowstall.core.Effects.Txn;
import mallowstall.core.Effects.TxnReply;
import mallowstall.core.Model.CoreSettings;
import mallowstall.core.Model.GroupMachine;
import mallowstall.core.Model.GroupRec;
import mallowstall.core.Model.MachineRec;

/**
 * Writes which controller owns a machine. Each change compares this process's session, so that one
 * applied late, after the process has ended, fails. Mutable.
 */
final class MachineRecords {
  private final CoreSettings settings;
  private final Effects effects;
  private final Store store;

  /** Machines whose change is under way, since when. */
  private final Map<String, Long> underWay = new HashMap<>();

  private int groups;
  private long nextSweep;

  MachineRecords(CoreSettings settings, Effects effects, Store store) {
    this.settings = settings;
    this.effects = effects;
    this.store = store;
  }

  /** Marks that the machine's record is being changed. */
  void begin(String machine, long now) {
    underWay.put(machine, now);
  }

  void end(String machine) {
    underWay.remove(machine);
  }

  boolean underWay(String machine) {
    return underWay.containsKey(machine);
  }

  /** Since when the machine's record is being changed; null: it isn't. */
  Long underWaySince(String machine) {
    return underWay.get(machine);
  }

  /** Makes this controller the machine's recorded owner; false: refused for the backlog. */
  boolean write(String id, String type, String zone, boolean spot, Consumer<TxnReply> then) {
    String key = Store.MACHINES + id;
    MachineRec record = new MachineRec(settings.node(), store.incarnation(), 0, type, zone, spot);
    return store.transact(
        Store.Urgency.MACHINE,
        new Txn(
            List.of(new Cond(key, store.version(key)), session()),
            List.of(new Put(key, record, 0)),
            List.of()),
        then);
  }

  /** Writes one record that names many machines; false: refused for the backlog. */
  boolean writeGroup(List<GroupMachine> machines, Consumer<TxnReply> then) {
    String key = Store.GROUPS + store.incarnation() + "-" + ++groups;
    Put put = new Put(key, group(machines), 0);
    return store.transact(
        Store.Urgency.MACHINE,
        new Txn(List.of(new Cond(key, 0), session()), List.of(put), List.of()),
        then);
  }

  /** The size of the record that names these machines, as it is sent. */
  int groupSize(List<GroupMachine> machines) {
    return effects.encodedSize(group(machines));
  }

  private GroupRec group(List<GroupMachine> machines) {
    return new GroupRec(settings.node(), store.incarnation(), machines);
  }

  /** A change applied late, after this process has ended, must not make it an owner again. */
  private Cond session() {
    String key = Store.SESSIONS + settings.node();
    return new Cond(key, store.version(key));
  }

  /** Drops groups that say nothing any more, one at a time. */
  void sweep(long now) {
    if (now < nextSweep || !store.sessionGood()) {
      return;
    }
    nextSweep = now + Constants.SWEEP_EVERY_MS;
    for (String key : store.spentGroups()) {
      GroupRec group = (GroupRec) store.held(key).value();
      boolean mine =
          group.node().equals(settings.node()) || !store.live(group.node(), group.incarnation());
      if (!mine) {
        continue;
      }
      store.transact(
          Store.Urgency.BACKGROUND, new Txn(List.of(), List.of(), List.of(key)), reply -> {});
      return;
    }
  }
}
