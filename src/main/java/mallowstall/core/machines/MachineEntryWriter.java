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
 * Writes which controller leads a machine. Each write is conditional on this process's session, so
 * that one applied late, after the process has ended, fails. Mutable.
 */
public final class MachineEntryWriter {
  /** ms. Between scans for machine groups of which no member counts any more. */
  private static final long MACHINE_GROUP_SWEEP_INTERVAL_MS = 2_000;

  private final CoreSettings settings;
  private final Effects effects;
  private final StateStore store;

  /** Machines whose entry is being changed, since when, in ms of the steady clock. */
  private final Map<String, Long> inFlight = new HashMap<>();

  private int groupCounter;
  private long nextSweepMs;

  /** Writes entries for the incarnation that {@code store} knows at the time. */
  public MachineEntryWriter(CoreSettings settings, Effects effects, StateStore store) {
    this.settings = settings;
    this.effects = effects;
    this.store = store;
  }

  /** A change of the machine's entry begins. */
  void markInFlight(String machine, long now) {
    inFlight.put(machine, now);
  }

  /** The change of the machine's entry was answered or refused. */
  void clearInFlight(String machine) {
    inFlight.remove(machine);
  }

  /** Whether a change of the machine's entry is unanswered. */
  boolean inFlight(String machine) {
    return inFlight.containsKey(machine);
  }

  /** Whether a change of the machine's entry began at most so long ago and is unanswered. */
  boolean inFlightWithin(String machine, long now, long ms) {
    Long sinceMs = inFlight.get(machine);
    return sinceMs != null && now - sinceMs < ms;
  }

  /**
   * Takes the leadership of a machine from its previous leader; no other change of its entry may be
   * in flight.
   *
   * @param previous the entry that is replaced
   * @return false: refused because of the backlog, {@code callback} is not called
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

  /** Makes this controller the machine's recorded leader; false: refused because of the backlog. */
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

  /** The same for many machines by one entry; false: refused because of the backlog. */
  boolean writeGroup(List<MachineGroupMember> machines, Consumer<TransactionResult> callback) {
    String key = StateKeys.MACHINE_GROUP_PREFIX + store.incarnation() + "-" + ++groupCounter;
    PutOperation put = new PutOperation(key, groupEntry(machines), 0);
    return store.transact(
        RequestPriority.MACHINE,
        new Transaction(
            List.of(new Condition(key, 0), sessionCondition()), List.of(put), List.of()),
        callback);
  }

  /** The encoded size, in bytes, of the entry that names these machines. */
  int groupSize(List<MachineGroupMember> machines) {
    return effects.encodedSizeBytes(groupEntry(machines));
  }

  private MachineGroupEntry groupEntry(List<MachineGroupMember> machines) {
    return new MachineGroupEntry(settings.node(), store.incarnation(), machines);
  }

  /** A write applied late, after this process has ended, must not make it a leader again. */
  private Condition sessionCondition() {
    String key = StateKeys.session(settings.node());
    return new Condition(key, store.modRevision(key));
  }

  /** Deletes group entries that a later entry supersedes for every machine, one at a time. */
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
