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
 * Gives machines back to the cloud and then ends their records, which tells every holder that what
 * was on them is gone. Mutable.
 */
public final class ScaleIn {
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.fleet");

  private final EventClock clock;
  private final CoreSettings settings;
  private final Effects effects;
  private final StateStore store;
  private final TokenBucket apiCallBucket;

  /** Called for each machine that the cloud confirms as returned. */
  private final Consumer<String> onReturned;

  private final Set<String> returnsInFlight = new HashSet<>();

  /** Returned machines, and when that was confirmed. */
  private final Map<String, Long> returnedAtMs = new HashMap<>();

  /** Returned machines whose records still stand. */
  private final Set<String> entriesToDelete = new HashSet<>();

  private final RetryDelay deleteRetry = new RetryDelay();

  /** Wires this module to the ones that it uses; it does nothing before its first event. */
  public ScaleIn(
      EventClock clock,
      CoreSettings settings,
      Effects effects,
      StateStore store,
      TokenBucket apiCallBucket,
      Consumer<String> onReturned) {
    this.clock = clock;
    this.settings = settings;
    this.effects = effects;
    this.store = store;
    this.apiCallBucket = apiCallBucket;
    this.onReturned = onReturned;
  }

  /** Whether the cloud has been asked to take the machine back and hasn't answered. */
  boolean isReturnInFlight(String machine) {
    return returnsInFlight.contains(machine);
  }

  /** Whether it was returned so lately that the cloud's list may still name it. */
  boolean wasReturnedRecently(String machine, long now) {
    Long returnedMs = returnedAtMs.get(machine);
    return returnedMs != null && now - returnedMs < Constants.SCALE_IN_MEMORY_MS;
  }

  /** Forgets returns that no list of the cloud can still contradict. */
  void expireReturned(long now) {
    returnedAtMs.values().removeIf(returnedMs -> now - returnedMs > Constants.SCALE_IN_MEMORY_MS);
  }

  /** Leaves those that nothing need be asked for. */
  List<String> withoutReturned(Collection<String> machines) {
    List<String> remaining = new ArrayList<>(machines);
    remaining.removeAll(returnsInFlight);
    remaining.removeAll(returnedAtMs.keySet());
    return remaining;
  }

  /**
   * As many as one request may name; the rest with a later plan. Idle machines of a fleet were once
   * named all at once, 200 of them: the cloud refused, again and again, and none went back.
   */
  void returnMachines(List<String> machines, String reason) {
    if (!apiCallBucket.canSpend(clock.now(), 1, 0)) {
      return;
    }
    apiCallBucket.spend(clock.now(), 1);
    int batchSize = Math.min(machines.size(), Constants.SCALE_IN_MACHINES_MAX);
    List<String> batch = List.copyOf(machines.subList(0, batchSize));
    returnsInFlight.addAll(batch);
    LOG.info("return {}: {}", batch, reason);
    effects.scaleIn(batch, ok -> handleResult(batch, ok));
  }

  private void handleResult(List<String> batch, boolean ok) {
    returnsInFlight.removeAll(batch);
    if (!ok) {
      return;
    }
    for (String id : batch) {
      returnedAtMs.put(id, clock.now());
      onReturned.accept(id);
      if (store.machine(id) != null) {
        entriesToDelete.add(id);
      }
    }
    deleteEntries();
  }

  /** Tries again to end records that couldn't be ended. */
  void tick(long now) {
    if (!entriesToDelete.isEmpty() && deleteRetry.isDue(now)) {
      deleteEntries();
    }
  }

  /** Ends as many records as a transaction may change. */
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
    boolean accepted =
        store.transact(
            RequestPriority.MACHINE,
            new Transaction(List.of(), tombstones, deletedKeys),
            reply -> {
              deleteRetry.recordResult(clock.now(), reply.code());
              if (reply.code() != ResultCode.OK) {
                entriesToDelete.addAll(machines);
              }
            });
    // until the records are gone, holders don't know and jobs taken over wait for these machines
    if (!accepted) {
      entriesToDelete.addAll(machines);
    }
  }
}
