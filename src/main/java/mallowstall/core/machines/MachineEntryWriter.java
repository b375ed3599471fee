package mallowstall.core.machines;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import mallowstall.Constants;
import mallowstall.core.kernel.Condition;
import mallowstall.core.kernel.Effects;
import mallowstall.core.kernel.PutOperation;
import mallowstall.core.kernel.Transaction;
import mallowstall.core.kernel.TransactionResult;
import mallowstall.core.kv.RequestPriority;
import mallowstall.core.kv.StateKeys;
import mallowstall.core.kv.StateStore;
import mallowstall.core.model.CoreSettings;
import mallowstall.core.model.MachineEntry;
import mallowstall.core.model.MachineGroupEntry;
import mallowstall.core.model.MachineGroupMember;

/**
 * Writes which controller owns a machine. Each change compares this process's session, so that one
 * applied late, after the process has ended, fails. Mutable.
 */
public final class MachineEntryWriter {
  private final CoreSettings settings;
  private final Effects effects;
  private final StateStore store;

  /** Machines whose change is under way, since when. */
  private final Map<String, Long> inFlight = new HashMap<>();

  private int groupCounter;
  private long nextSweepMs;

  /** Wires this module to the ones that it uses; it does nothing before its first event. */
  public MachineEntryWriter(CoreSettings settings, Effects effects, StateStore store) {
    this.settings = settings;
    this.effects = effects;
    this.store = store;
  }

  /** Marks that the machine's record is being changed. */
  void markInFlight(String machine, long now) {
    inFlight.put(machine, now);
  }

  void clearInFlight(String machine) {
    inFlight.remove(machine);
  }

  boolean inFlight(String machine) {
    return inFlight.containsKey(machine);
  }

  /** Since when the machine's record is being changed; null: it isn't. */
  Long inFlightSinceMs(String machine) {
    return inFlight.get(machine);
  }

  /** Makes this controller the machine's recorded owner; false: refused for the backlog. */
  boolean writeEntry(
      String id, String type, String zone, boolean spot, Consumer<TransactionResult> callback) {
    String key = StateKeys.machine(id);
    MachineEntry machineEntry =
        new MachineEntry(settings.node(), store.incarnation(), 0, type, zone, spot);
    return store.transact(
        RequestPriority.MACHINE,
        new Transaction(
            List.of(new Condition(key, store.modRevision(key)), sessionCondition()),
            List.of(new PutOperation(key, machineEntry, 0)),
            List.of()),
        callback);
  }

  /** Writes one record that names many machines; false: refused for the backlog. */
  boolean writeGroup(List<MachineGroupMember> machines, Consumer<TransactionResult> callback) {
    String key = StateKeys.MACHINE_GROUP_PREFIX + store.incarnation() + "-" + ++groupCounter;
    PutOperation put = new PutOperation(key, groupEntry(machines), 0);
    return store.transact(
        RequestPriority.MACHINE,
        new Transaction(
            List.of(new Condition(key, 0), sessionCondition()), List.of(put), List.of()),
        callback);
  }

  /** The size of the record that names these machines, as it is sent. */
  int groupSize(List<MachineGroupMember> machines) {
    return effects.encodedSizeBytes(groupEntry(machines));
  }

  private MachineGroupEntry groupEntry(List<MachineGroupMember> machines) {
    return new MachineGroupEntry(settings.node(), store.incarnation(), machines);
  }

  /** A change applied late, after this process has ended, must not make it an owner again. */
  private Condition sessionCondition() {
    String key = StateKeys.session(settings.node());
    return new Condition(key, store.modRevision(key));
  }

  /** Drops groups that say nothing any more, one at a time. */
  void deleteObsoleteGroups(long now) {
    if (now < nextSweepMs || !store.isSessionValid()) {
      return;
    }
    nextSweepMs = now + Constants.MACHINE_GROUP_SWEEP_INTERVAL_MS;
    for (String key : store.obsoleteGroups()) {
      MachineGroupEntry group = (MachineGroupEntry) store.entry(key).value();
      boolean deletable =
          group.node().equals(settings.node()) || !store.isLive(group.node(), group.incarnation());
      if (!deletable) {
        continue;
      }
      store.transact(
          RequestPriority.BACKGROUND,
          new Transaction(List.of(), List.of(), List.of(key)),
          reply -> {});
      return;
    }
  }
}
