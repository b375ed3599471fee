package mallowstall.core.machines;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
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
 * Writes the entries that record which controller leads a machine. Each write is conditional on
 * this process's session, so that a write fails if it is applied after the process has ended.
 * Mutable.
 */
public final class MachineEntryWriter {
  /** The interval between scans for obsolete machine groups, in milliseconds. */
  private static final long MACHINE_GROUP_SWEEP_INTERVAL_MS = 2_000;

  private final CoreSettings settings;
  private final Effects effects;
  private final StateStore store;

  /** Start times of unanswered entry changes, in milliseconds of the steady clock, by machine. */
  private final Map<String, Long> inFlight = new HashMap<>();

  private int groupCounter;
  private long nextSweepMs;

  /** Creates a writer that uses the incarnation that {@code store} holds at each write. */
  public MachineEntryWriter(CoreSettings settings, Effects effects, StateStore store) {
    this.settings = settings;
    this.effects = effects;
    this.store = store;
  }

  /** Records that a change of the machine's entry begins. */
  void markInFlight(String machine, long now) {
    inFlight.put(machine, now);
  }

  /** Records that the change of the machine's entry was answered or refused. */
  void clearInFlight(String machine) {
    inFlight.remove(machine);
  }

  /** Returns whether a change of the machine's entry is unanswered. */
  boolean inFlight(String machine) {
    return inFlight.containsKey(machine);
  }

  /** Returns whether an unanswered entry change began less than {@code maxAgeMs} ago. */
  boolean inFlightWithin(String machine, long now, long maxAgeMs) {
    Long sinceMs = inFlight.get(machine);
    return sinceMs != null && now - sinceMs < maxAgeMs;
  }

  /**
   * Takes over the leadership of a machine from its previous leader. No other change of the
   * machine's entry may be in flight.
   *
   * @param previous the entry that is replaced
   * @return false if the write was refused because of the backlog; {@code callback} is not called
   */
  boolean claim(String id, MachineEntry previous, long now, Consumer<TransactionResult> callback) {
    markInFlight(id, now);
    boolean accepted =
        writeEntry(
            id,
            previous.type(),
            previous.zone(),
            previous.spot(),
            reply -> {
              clearInFlight(id);
              callback.accept(reply);
            });
    if (!accepted) {
      clearInFlight(id);
    }
    return accepted;
  }

  /**
   * Writes this controller as the machine's leader. Returns false if the write was refused because
   * of the backlog; {@code callback} is not called then.
   */
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

  /**
   * Writes this controller as the leader of several machines in one entry. Returns false if the
   * write was refused because of the backlog; {@code callback} is not called then.
   */
  boolean writeGroup(List<MachineGroupMember> machines, Consumer<TransactionResult> callback) {
    String key = StateKeys.MACHINE_GROUP_PREFIX + store.incarnation() + "-" + ++groupCounter;
    PutOperation put = new PutOperation(key, groupEntry(machines), 0);
    return store.transact(
        RequestPriority.MACHINE,
        new Transaction(
            List.of(new Condition(key, 0), sessionCondition()), List.of(put), List.of()),
        callback);
  }

  /** Returns the encoded size in bytes of a group entry for these machines. */
  int groupSize(List<MachineGroupMember> machines) {
    return effects.encodedSizeBytes(groupEntry(machines));
  }

  private MachineGroupEntry groupEntry(List<MachineGroupMember> machines) {
    return new MachineGroupEntry(settings.node(), store.incarnation(), machines);
  }

  /**
   * Returns the condition that this process's session entry is unchanged. Otherwise a write that is
   * applied after this process has ended would make the process a leader again.
   */
  private Condition sessionCondition() {
    String key = StateKeys.session(settings.node());
    return new Condition(key, store.modRevision(key));
  }

  /** Deletes at most one group entry per scan whose machines all have later entries. */
  void deleteObsoleteGroups(long now) {
    if (now < nextSweepMs || !store.isSessionValid()) {
      return;
    }
    nextSweepMs = now + MACHINE_GROUP_SWEEP_INTERVAL_MS;
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
