package mallowstall.core.kv;

import java.util.function.Consumer;
import mallowstall.Constants;
import mallowstall.core.kernel.Effects;
import mallowstall.core.kernel.EventClock;
import mallowstall.core.kernel.GetResult;
import mallowstall.core.kernel.KeyValue;
import mallowstall.core.kernel.LeaseResult;
import mallowstall.core.kernel.ListResult;
import mallowstall.core.kernel.PutOperation;
import mallowstall.core.kernel.ResultCode;
import mallowstall.core.kernel.Transaction;
import mallowstall.core.kernel.TransactionResult;
import mallowstall.core.kernel.WatchResult;

/**
 * All requests of this controller to the state service. Each one is charged to the budget, shows
 * when the service was last reached, and what it brings goes into the replica.
 *
 * <p>Transactions and reads wait for the budget; listings, watches and leases are sent at once,
 * since the replica and the session must not lapse.
 */
final class StateRequests {
  private final EventClock clock;
  private final Effects effects;
  private final RequestQueue queue;
  private final StateReplica replica;
  private long lastContactMs = Long.MIN_VALUE / 2;

  /** Requests that are paid from this queue's budget and update this replica. */
  StateRequests(EventClock clock, Effects effects, RequestQueue queue, StateReplica replica) {
    this.clock = clock;
    this.effects = effects;
    this.queue = queue;
    this.replica = replica;
  }

  /** Steady time in ms up to which the state service surely served this controller. */
  long lastContactMs() {
    return lastContactMs;
  }

  /** See {@link StateStore#transact}. */
  boolean transact(
      RequestPriority priority, Transaction transaction, Consumer<TransactionResult> callback) {
    double writeCost = transaction.puts().size() + transaction.deletes().size();
    return queue.enqueue(priority, 1, writeCost, () -> sendTransaction(transaction, callback));
  }

  private void sendTransaction(Transaction transaction, Consumer<TransactionResult> callback) {
    long sentMs = clock.now();
    effects.transact(
        transaction,
        result -> {
          recordContact(result.code(), sentMs);
          if (result.code() == ResultCode.OK) {
            applyCommitted(transaction, result.revision());
          }
          callback.accept(result);
        });
  }

  private void applyCommitted(Transaction transaction, long revision) {
    for (PutOperation put : transaction.puts()) {
      replica.apply(new KeyValue(put.key(), put.value(), revision));
    }
    for (String key : transaction.deletes()) {
      replica.apply(new KeyValue(key, null, revision));
    }
  }

  /** See {@link StateStore#read}. */
  boolean read(RequestPriority priority, String key, Consumer<GetResult> callback) {
    return queue.enqueue(
        priority,
        1,
        0,
        () ->
            effects.get(
                key,
                result -> {
                  recordContact(result.code(), clock.now());
                  if (result.code() == ResultCode.OK && result.item().value() != null) {
                    replica.apply(result.item());
                  }
                  callback.accept(result);
                }));
  }

  /** Reads the page of keys after this one; null: the first page. */
  void list(String afterKey, Consumer<ListResult> callback) {
    queue.chargeRequest();
    effects.list(
        afterKey,
        page -> {
          recordContact(page.code(), clock.now());
          callback.accept(page);
        });
  }

  /** Waits for changes after this revision, for a limited time. */
  void watch(long afterRevision, Consumer<WatchResult> callback) {
    queue.chargeRequest();
    effects.watch(
        afterRevision,
        Constants.WATCH_TIMEOUT_MS,
        result -> {
          recordContact(result.code(), clock.now());
          callback.accept(result);
        });
  }

  /** Asks for a new lease for the session. */
  void grantLease(Consumer<LeaseResult> callback) {
    long sentMs = clock.now();
    queue.chargeRequest();
    effects.grantLease(
        Constants.SESSION_LEASE_MS,
        result -> {
          recordContact(result.code(), sentMs);
          callback.accept(result);
        });
  }

  /** Renews the lease of the session. */
  void renewLease(long leaseId, Consumer<LeaseResult> callback) {
    long sentMs = clock.now();
    queue.chargeRequest();
    effects.renewLease(
        leaseId,
        result -> {
          recordContact(result.code(), sentMs);
          callback.accept(result);
        });
  }

  private void recordContact(ResultCode code, long atMs) {
    if (code == ResultCode.OK
        || code == ResultCode.CONFLICT
        || code == ResultCode.LEASE_NOT_FOUND
        || code == ResultCode.EXPIRED) {
      lastContactMs = atMs;
    }
  }
}
