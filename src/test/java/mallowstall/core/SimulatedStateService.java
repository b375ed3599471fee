package mallowstall.core;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import mallowstall.core.kernel.Condition;
import mallowstall.core.kernel.KeyValue;
import mallowstall.core.kernel.PutOperation;
import mallowstall.core.kernel.ResultCode;
import mallowstall.core.kernel.Transaction;
import mallowstall.core.kernel.TransactionResult;
import mallowstall.core.model.StoredEntry;

/** A stand-in for the state service. */
final class SimulatedStateService {
  private final Simulation simulation;

  SimulatedStateService(Simulation sim) {
    this.simulation = sim;
  }

  /** A stored value. */
  record StoredValue(StoredEntry value, long version, long leaseId) {}

  final TreeMap<String, StoredValue> entries = new TreeMap<>();
  final List<KeyValue> changes = new ArrayList<>();
  final Map<Long, Long> leases = new HashMap<>();
  final Map<Long, Long> leaseTtlsMs = new HashMap<>();
  long revision;
  long lastLeaseId;
  boolean outage;

  /** What it refuses to exceed, null: nothing. What is stored already stays. */
  private Simulation.StateLimits limits;

  /** Changes that may come at once, at most a second's; refilled up to that moment. */
  private double changeTokens;

  private long changeTokensUpdatedMs;

  /** Given each transaction right after it was carried out. */
  Consumer<Transaction> onApplied = transaction -> {};

  /** From now on these limits hold, without notice. */
  void setLimits(Simulation.StateLimits now) {
    limits = now;
    changeTokens = now.changesPerSecond();
    changeTokensUpdatedMs = simulation.nowMs;
  }

  /** Why the transaction exceeds the limits; OK: it doesn't. */
  private ResultCode checkLimits(Transaction transaction) {
    if (limits == null) {
      return ResultCode.OK;
    }
    int changes = transaction.puts().size() + transaction.deletes().size();
    boolean large =
        changes > limits.txnOps() || transaction.conditions().size() > 4 * limits.txnOps();
    for (PutOperation put : transaction.puts()) {
      large |= Simulation.encodedSize(put.value()) > limits.valueBytes();
    }
    if (large) {
      simulation.countFault("limits, too large");
      return ResultCode.INVALID;
    }
    double rate = limits.changesPerSecond();
    changeTokens =
        Math.min(rate, changeTokens + (simulation.nowMs - changeTokensUpdatedMs) * rate / 1_000);
    changeTokensUpdatedMs = simulation.nowMs;
    if (changes > changeTokens) {
      simulation.countFault("limits, too many");
      return ResultCode.REJECTED;
    }
    changeTokens -= changes;
    return ResultCode.OK;
  }

  /** All transactions that came here, whatever became of them. */
  final List<Transaction> receivedTransactions = new ArrayList<>();

  void applyChange(String key, StoredEntry value, long newRevision, long lease) {
    if (value == null) {
      if (entries.remove(key) == null) {
        return;
      }
    } else {
      entries.put(key, new StoredValue(value, newRevision, lease));
    }
    changes.add(new KeyValue(key, value, newRevision));
  }

  void expireLeases() {
    if (outage) {
      return;
    }
    for (Long leaseId : new ArrayList<>(leases.keySet())) {
      if (leases.get(leaseId) <= simulation.nowMs) {
        revokeLease(leaseId);
      }
    }
  }

  void revokeLease(long leaseId) {
    leases.remove(leaseId);
    List<String> removedKeys = new ArrayList<>();
    entries.forEach(
        (key, value) -> {
          if (value.leaseId == leaseId) {
            removedKeys.add(key);
          }
        });
    if (removedKeys.isEmpty()) {
      return;
    }
    revision++;
    for (String key : removedKeys) {
      applyChange(key, null, revision, 0);
    }
  }

  TransactionResult transact(Transaction transaction) {
    expireLeases();
    receivedTransactions.add(transaction);
    ResultCode exceeds = checkLimits(transaction);
    if (exceeds != ResultCode.OK) {
      return new TransactionResult(exceeds, 0);
    }
    for (PutOperation put : transaction.puts()) {
      if (put.leaseId() != 0 && !leases.containsKey(put.leaseId())) {
        return new TransactionResult(ResultCode.LEASE_NOT_FOUND, revision);
      }
    }
    for (Condition condition : transaction.conditions()) {
      StoredValue value = entries.get(condition.key());
      if ((value == null ? 0 : value.version) != condition.modRevision()) {
        return new TransactionResult(ResultCode.CONFLICT, revision);
      }
    }
    revision++;
    for (PutOperation appliedPut : transaction.puts()) {
      applyChange(appliedPut.key(), appliedPut.value(), revision, appliedPut.leaseId());
    }
    for (String key : transaction.deletes()) {
      applyChange(key, null, revision, 0);
    }
    onApplied.accept(transaction);
    return new TransactionResult(ResultCode.OK, revision);
  }

  void endOutage() {
    outage = false;
    leases.replaceAll((leaseId, end) -> simulation.nowMs + leaseTtlsMs.get(leaseId));
  }
}
