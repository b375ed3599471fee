package mallowstall.core;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import mallowstall.Constants;
import mallowstall.core.Effects.Code;
import mallowstall.core.Effects.Put;
import mallowstall.core.Effects.Txn;
import mallowstall.core.Model.CoreSettings;
import mallowstall.core.Model.MachineRec;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Gives machines back to the cloud and then ends their records, which tells every holder that what
 * was on them is gone. Mutable.
 */
final class MachineReturns {
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.fleet");

  private final EventClock clock;
  private final CoreSettings settings;
  private final Effects effects;
  private final Store store;
  private final Budget calls;

  /** Called for each machine that the cloud confirms as returned. */
  private final Consumer<String> confirmed;

  private final Set<String> underWay = new HashSet<>();

  /** Returned machines, and when that was confirmed. */
  private final Map<String, Long> returnedAt = new HashMap<>();

  /** Returned machines whose records still stand. */
  private final Set<String> toDrop = new HashSet<>();

  private final RetryDelay dropRetry = new RetryDelay();

  MachineReturns(
      EventClock clock,
      CoreSettings settings,
      Effects effects,
      Store store,
      Budget calls,
      Consumer<String> confirmed) {
    this.clock = clock;
    this.settings = settings;
    this.effects = effects;
    this.store = store;
    this.calls = calls;
    this.confirmed = confirmed;
  }

  /** Whether the cloud has been asked to take the machine back and hasn't answered. */
  boolean underWay(String machine) {
    return underWay.contains(machine);
  }

  /** Whether it was returned so lately that the cloud's list may still name it. */
  boolean lately(String machine, long now) {
    Long at = returnedAt.get(machine);
    return at != null && now - at < Constants.RETURNED_MS;
  }

  /** Forgets returns that no list of the cloud can still contradict. */
  void expire(long now) {
    returnedAt.values().removeIf(at -> now - at > Constants.RETURNED_MS);
  }

  /** Leaves those that nothing need be asked for. */
  List<String> open(Collection<String> machines) {
    List<String> open = new ArrayList<>(machines);
    open.removeAll(underWay);
    open.removeAll(returnedAt.keySet());
    return open;
  }

  /**
   * As many as one request may name; the rest with a later plan. Idle machines of a fleet were once
   * named all at once, 200 of them: the cloud refused, again and again, and none went back.
   */
  void returnMachines(List<String> machines, String why) {
    if (!calls.has(clock.now(), 1, 0)) {
      return;
    }
    calls.spend(clock.now(), 1);
    int most = Math.min(machines.size(), Constants.RETURN_MAX);
    List<String> names = List.copyOf(machines.subList(0, most));
    underWay.addAll(names);
    LOG.info("return {}: {}", names, why);
    effects.returnMachines(names, ok -> answered(names, ok));
  }

  private void answered(List<String> names, boolean ok) {
    underWay.removeAll(names);
    if (!ok) {
      return;
    }
    for (String id : names) {
      returnedAt.put(id, clock.now());
      confirmed.accept(id);
      if (store.machine(id) != null) {
        toDrop.add(id);
      }
    }
    dropRecords();
  }

  /** Tries again to end records that couldn't be ended. */
  void tick(long now) {
    if (!toDrop.isEmpty() && dropRetry.due(now)) {
      dropRecords();
    }
  }

  /** Ends as many records as a transaction may change. */
  private void dropRecords() {
    toDrop.removeIf(id -> store.machine(id) == null);
    if (toDrop.isEmpty()) {
      return;
    }
    List<String> machines = toDrop.stream().limit(settings.txnOps()).toList();
    List<Put> ends = new ArrayList<>();
    List<String> drops = new ArrayList<>();
    for (String id : machines) {
      String key = Store.MACHINES + id;
      if (store.grouped(id)) {
        ends.add(new Put(key, MachineRec.returned(), 0));
      } else {
        drops.add(key);
      }
    }
    machines.forEach(toDrop::remove);
    boolean asked =
        store.transact(
            Store.Urgency.MACHINE,
            new Txn(List.of(), ends, drops),
            reply -> {
              dropRetry.answered(clock.now(), reply.code());
              if (reply.code() != Code.OK) {
                toDrop.addAll(machines);
              }
            });
    // until the records are gone, holders don't know and jobs taken over wait for these machines
    if (!asked) {
      toDrop.addAll(machines);
    }
  }
}
