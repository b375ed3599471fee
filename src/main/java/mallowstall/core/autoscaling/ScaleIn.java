package mallowstall.core.autoscaling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import mallowstall.Constants;
import mallowstall.core.cluster.ReturnedMachines;
import mallowstall.core.kernel.Effects;
import mallowstall.core.kernel.EventClock;
import mallowstall.core.kernel.PutOperation;
import mallowstall.core.kernel.ResultCode;
import mallowstall.core.kernel.RetryDelay;
import mallowstall.core.kernel.TokenBucket;
import mallowstall.core.kernel.Transaction;
import mallowstall.core.kv.RequestPriority;
import mallowstall.core.kv.StateKeys;
import mallowstall.core.kv.StateStore;
import mallowstall.core.model.CoreSettings;
import mallowstall.core.model.MachineEntry;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Returns machines to the cloud and then deletes their entries. The deletion notifies every job
 * leader that the tasks on these machines have ended (protocol, Cloud). Mutable.
 */
public final class ScaleIn {
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.autoscaling");

  /**
   * Time in milliseconds for which a returned machine is excluded from further return requests. The
   * inventory may list a returned machine for twice the inventory's lag.
   */
  private static final long RETURNED_MACHINE_RETENTION_MS = 60_000;

  /** The reason for which machines are returned. */
  enum Reason {
    IDLE,
    LOST_OR_FAULTY
  }

  private final EventClock clock;
  private final CoreSettings settings;
  private final Effects effects;
  private final StateStore store;
  private final TokenBucket apiCallBucket;

  private final ReturnedMachines returnedMachines;

  /** Called with the id of each machine that the cloud confirms as returned. */
  private final Consumer<String> onReturned;

  private final Set<String> returnsInFlight = new HashSet<>();

  /**
   * Returned machines, with the steady time in milliseconds at which the cloud confirmed the
   * return.
   */
  private final Map<String, Long> returnedAtMs = new HashMap<>();

  /** Returned machines whose entries are to be deleted by the next transaction. */
  private final Set<String> entriesToDelete = new HashSet<>();

  /** Returned machines whose entries are deleted by a transaction that is in flight. */
  private final Set<String> deletionsInFlight = new HashSet<>();

  private final RetryDelay deleteRetry = new RetryDelay();

  /** Creates a scale-in that calls {@code onReturned} for each machine confirmed as returned. */
  public ScaleIn(
      EventClock clock,
      CoreSettings settings,
      Effects effects,
      StateStore store,
      TokenBucket apiCallBucket,
      ReturnedMachines returnedMachines,
      Consumer<String> onReturned) {
    this.clock = clock;
    this.settings = settings;
    this.effects = effects;
    this.store = store;
    this.apiCallBucket = apiCallBucket;
    this.returnedMachines = returnedMachines;
    this.onReturned = onReturned;
  }

  /** Returns whether a return request for the machine is in flight. */
  boolean isReturnInFlight(String machine) {
    return returnsInFlight.contains(machine);
  }

  /** Returns whether the machine was returned so recently that the inventory may still list it. */
  boolean wasReturnedRecently(String machine, long now) {
    Long returnedMs = returnedAtMs.get(machine);
    return returnedMs != null && now - returnedMs < RETURNED_MACHINE_RETENTION_MS;
  }

  /** Removes returned machines that no future inventory can list. */
  void expireReturned(long now) {
    returnedAtMs.values().removeIf(returnedMs -> now - returnedMs > RETURNED_MACHINE_RETENTION_MS);
  }

  /** Returns the machines that are neither recently returned nor being returned. */
  List<String> withoutReturned(Collection<String> machines) {
    List<String> remaining = new ArrayList<>(machines);
    remaining.removeAll(returnsInFlight);
    remaining.removeAll(returnedAtMs.keySet());
    return remaining;
  }

  /**
   * Requests the return of as many of the machines as one request may name. The cloud rejects a
   * longer request as a whole, so a later plan returns the rest.
   */
  void returnMachines(List<String> machines, Reason reason) {
    if (!apiCallBucket.canSpend(clock.now(), 1, 0)) {
      return;
    }
    apiCallBucket.spend(clock.now(), 1);
    int batchSize = Math.min(machines.size(), Constants.SCALE_IN_MACHINES_MAX);
    List<String> batch = List.copyOf(machines.subList(0, batchSize));
    returnsInFlight.addAll(batch);
    LOG.info("scale in requested machines={} reason={}", batch, reason);
    effects.scaleIn(batch, ok -> handleResult(batch, ok));
  }

  private void handleResult(List<String> batch, boolean ok) {
    returnsInFlight.removeAll(batch);
    if (!ok) {
      LOG.debug("scale in failed machines={}", batch);
      return;
    }
    for (String id : batch) {
      returnedAtMs.put(id, clock.now());
      returnedMachines.add(id);
      onReturned.accept(id);
      if (store.machine(id) != null) {
        entriesToDelete.add(id);
      }
    }
    deleteEntries();
  }

  /**
   * Schedules the entries of returned machines for deletion by the next tick. Heartbeats that were
   * in flight during the return have registered these machines again. The deletion has no
   * conditions, because no entry of a returned machine can be valid.
   */
  void deleteLateEntries(Collection<String> machines) {
    List<String> late = new ArrayList<>(machines);
    late.removeAll(entriesToDelete);
    // otherwise each plan repeats a deletion that is still in flight, and the backlog uses up the
    // write rate
    late.removeAll(deletionsInFlight);
    if (!late.isEmpty()) {
      LOG.info("late entries of returned machines machines={}", late);
      entriesToDelete.addAll(late);
    }
  }

  /** Sends the next deletion of entries if one is pending and the retry delay is over. */
  void tick(long now) {
    if (!entriesToDelete.isEmpty() && deleteRetry.isDue(now)) {
      deleteEntries();
    }
  }

  /**
   * Deletes as many entries as one transaction may change, unless a deletion is in flight; later
   * ticks delete the rest. Other writes get their turn in between.
   */
  private void deleteEntries() {
    entriesToDelete.removeIf(id -> store.machine(id) == null);
    if (entriesToDelete.isEmpty() || !deletionsInFlight.isEmpty()) {
      return;
    }
    List<String> machines = entriesToDelete.stream().limit(settings.maxTransactionOps()).toList();
    List<PutOperation> tombstones = new ArrayList<>();
    List<String> deletedKeys = new ArrayList<>();
    for (String id : machines) {
      String key = StateKeys.machine(id);
      if (store.isInMachineGroup(id)) {
        tombstones.add(new PutOperation(key, MachineEntry.tombstone(), 0));
      } else {
        deletedKeys.add(key);
      }
    }
    machines.forEach(entriesToDelete::remove);
    deletionsInFlight.addAll(machines);
    boolean accepted =
        store.transact(
            RequestPriority.MACHINE_REMOVAL,
            new Transaction(List.of(), tombstones, deletedKeys),
            reply -> {
              machines.forEach(deletionsInFlight::remove);
              deleteRetry.recordResult(clock.now(), reply.code());
              if (reply.code() != ResultCode.OK) {
                entriesToDelete.addAll(machines);
              }
            });
    // a full queue must not drop the deletion: job leaders wait until the entries are deleted
    if (!accepted) {
      machines.forEach(deletionsInFlight::remove);
      entriesToDelete.addAll(machines);
    }
  }
}
