package mallowstall.core;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import mallowstall.core.Model.Entry;

/** A stand-in for the state service. */
final class SimulatedStateService {
  private final Simulation sim;

  SimulatedStateService(Simulation sim) {
    this.sim = sim;
  }

  /** A stored value. */
  record Val(Entry value, long version, long lease) {}

  final TreeMap<String, Val> keys = new TreeMap<>();
  final List<Effects.Item> changes = new ArrayList<>();
  final Map<Long, Long> leases = new HashMap<>();
  final Map<Long, Long> ttls = new HashMap<>();
  long revision;
  long leaseNo;
  boolean outage;

  /** What it refuses to exceed, null: nothing. What is stored already stays. */
  private Simulation.StateLimits limits;

  /** Changes that may come at once, at most a second's; refilled up to that moment. */
  private double changesLeft;

  private long changesLeftAt;

  /** Given each transaction right after it was carried out. */
  Consumer<Effects.Txn> changed = transaction -> {};

  /** From now on these limits hold, without notice. */
  void limitTo(Simulation.StateLimits now) {
    limits = now;
    changesLeft = now.changesPerSecond();
    changesLeftAt = sim.now;
  }

  /** Why the transaction exceeds the limits; OK: it doesn't. */
  private Effects.Code exceeds(Effects.Txn transaction) {
    if (limits == null) {
      return Effects.Code.OK;
    }
    int changes = transaction.puts().size() + transaction.drops().size();
    boolean large = changes > limits.txnOps() || transaction.when().size() > 4 * limits.txnOps();
    for (Effects.Put put : transaction.puts()) {
      large |= Simulation.size(put.value()) > limits.valueBytes();
    }
    if (large) {
      sim.strike("limits, too large");
      return Effects.Code.MALFORMED;
    }
    double rate = limits.changesPerSecond();
    changesLeft = Math.min(rate, changesLeft + (sim.now - changesLeftAt) * rate / 1_000);
    changesLeftAt = sim.now;
    if (changes > changesLeft) {
      sim.strike("limits, too many");
      return Effects.Code.REFUSED;
    }
    changesLeft -= changes;
    return Effects.Code.OK;
  }

  /** All transactions that came here, whatever became of them. */
  final List<Effects.Txn> asked = new ArrayList<>();

  void set(String key, Entry v, long rev, long lease) {
    if (v == null) {
      if (keys.remove(key) == null) {
        return;
      }
    } else {
      keys.put(key, new Val(v, rev, lease));
    }
    changes.add(new Effects.Item(key, v, rev));
  }

  void expire() {
    if (outage) {
      return;
    }
    for (Long l : new ArrayList<>(leases.keySet())) {
      if (leases.get(l) <= sim.now) {
        end(l);
      }
    }
  }

  void end(long l) {
    leases.remove(l);
    List<String> gone = new ArrayList<>();
    keys.forEach(
        (k, value) -> {
          if (value.lease == l) {
            gone.add(k);
          }
        });
    if (gone.isEmpty()) {
      return;
    }
    revision++;
    for (String k : gone) {
      set(k, null, revision, 0);
    }
  }

  Effects.TxnReply transact(Effects.Txn transaction) {
    expire();
    asked.add(transaction);
    Effects.Code exceeds = exceeds(transaction);
    if (exceeds != Effects.Code.OK) {
      return new Effects.TxnReply(exceeds, 0);
    }
    for (Effects.Put put : transaction.puts()) {
      if (put.lease() != 0 && !leases.containsKey(put.lease())) {
        return new Effects.TxnReply(Effects.Code.NO_LEASE, revision);
      }
    }
    for (Effects.Cond condition : transaction.when()) {
      Val value = keys.get(condition.key());
      if ((value == null ? 0 : value.version) != condition.version()) {
        return new Effects.TxnReply(Effects.Code.CONFLICT, revision);
      }
    }
    revision++;
    for (Effects.Put p : transaction.puts()) {
      set(p.key(), p.value(), revision, p.lease());
    }
    for (String k : transaction.drops()) {
      set(k, null, revision, 0);
    }
    changed.accept(transaction);
    return new Effects.TxnReply(Effects.Code.OK, revision);
  }

  void recover() {
    outage = false;
    leases.replaceAll((l, end) -> sim.now + ttls.get(l));
  }
}
