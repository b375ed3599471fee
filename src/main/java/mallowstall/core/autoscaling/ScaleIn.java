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
 * Returns machines to the cloud and then deletes their entries, which tells every job leader that
 * their tasks have ended (protocol, Cloud). Mutable.
 */
public final class ScaleIn {
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.autoscaling");

  /**
   * ms. A returned machine may stay in the inventory for twice its lag; no more requests are made
   * for it.
   */
  private static final long SCALE_IN_MEMORY_MS = 60_000;

  /** Why machines are returned. */
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

  /** Called for each machine that the cloud confirms as returned. */
  private final Consumer<String> onReturned;

  private final Set<String> returnsInFlight = new HashSet<>();

  /** Returned machines, and when that was confirmed. */
  private final Map<String, Long> returnedAtMs = new HashMap<>();

  /** Returned machines whose entries are still to be deleted. */
  private final Set<String> entriesToDelete = new HashSet<>();

  /** Returned machines whose entries are being deleted by an unanswered transaction. */
  private final Set<String> deletionsInFlight = new HashSet<>();

  private final RetryDelay deleteRetry = new RetryDelay();

  /** Each machine that the cloud confirms as returned is handed to {@code onReturned}. */
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

  /** Whether the cloud has been asked to take the machine back and hasn't answered. */
  boolean isReturnInFlight(String machine) {
    return returnsInFlight.contains(machine);
  }

  /** Whether it was returned so recently that the cloud's inventory may still list it. */
  boolean wasReturnedRecently(String machine, long now) {
    Long returnedMs = returnedAtMs.get(machine);
    return returnedMs != null && now - returnedMs < SCALE_IN_MEMORY_MS;
  }

  /** Forgets returns that are older than any inventory still to come. */
  void expireReturned(long now) {
    returnedAtMs.values().removeIf(returnedMs -> now - returnedMs > SCALE_IN_MEMORY_MS);
  }

  /** Those of the machines that are neither returned nor being returned. */
  List<String> withoutReturned(Collection<String> machines) {
    List<String> remaining = new ArrayList<>(machines);
    remaining.removeAll(returnsInFlight);
    remaining.removeAll(returnedAtMs.keySet());
    return remaining;
  }

  /**
   * Returns as many of the machines as one request may name; the rest come with a later plan. The
   * cloud rejects a longer request as a whole.
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
   * Deletes entries of machines that are known to be returned, with the next tick: heartbeats that
   * were under way have registered them again. Nothing is compared, since no entry of such a
   * machine can be right.
   */
  void deleteLateEntries(Collection<String> machines) {
    List<String> late = new ArrayList<>(machines);
    late.removeAll(entriesToDelete);
    // guards against a backlog: a slow deletion sent again with each plan uses up the write rate
    late.removeAll(deletionsInFlight);
    if (!late.isEmpty()) {
      LOG.info("late entries of returned machines machines={}", late);
      entriesToDelete.addAll(late);
    }
  }

  /** Tries again to delete entries whose deletion has failed. */
  void tick(long now) {
    if (!entriesToDelete.isEmpty() && deleteRetry.isDue(now)) {
      deleteEntries();
    }
  }

  /** Deletes as many entries as one transaction may change. */
  private void deleteEntries() {
    entriesToDelete.removeIf(id -> store.machine(id) == null);
    if (entriesToDelete.isEmpty()) {
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
            RequestPriority.MACHINE,
            new Transaction(List.of(), tombstones, deletedKeys),
            reply -> {
              machines.forEach(deletionsInFlight::remove);
              deleteRetry.recordResult(clock.now(), reply.code());
              if (reply.code() != ResultCode.OK) {
                entriesToDelete.addAll(machines);
              }
            });
    // job leaders wait for these machines until their entries are deleted
    if (!accepted) {
      machines.forEach(deletionsInFlight::remove);
      entriesToDelete.addAll(machines);
    }
  }
}
