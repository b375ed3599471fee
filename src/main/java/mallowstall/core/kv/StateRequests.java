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
 * Sends all requests of this controller to the state service. Each request is charged to the
 * budget, and each response updates the time of the last contact. Values that were read or
 * committed are applied to the replica.
 *
 * <p>A transaction that the state service has refused as invalid is not sent again unchanged; its
 * result is then the same refusal.
 *
 * <p>Transactions and reads wait for the budget. Listings, watches and lease requests are sent at
 * once, because the replica must not become stale and the session must not expire.
 */
final class StateRequests {
  private final EventClock clock;
  private final Effects effects;
  private final RequestQueue queue;
  private final StateReplica replica;
  private final RefusedTransactions refusedTransactions = new RefusedTransactions();
  private long lastContactMs = Long.MIN_VALUE / 2;

  /** Creates an instance whose requests are charged to this queue and update this replica. */
  StateRequests(EventClock clock, Effects effects, RequestQueue queue, StateReplica replica) {
    this.clock = clock;
    this.effects = effects;
    this.queue = queue;
    this.replica = replica;
  }

  /**
   * Returns the latest steady time in milliseconds at which the state service is known to have
   * served this controller.
   */
  long lastContactMs() {
    return lastContactMs;
  }

  /** Requests a transaction; see {@link StateStore#transact}. */
  boolean transact(
      RequestPriority priority, Transaction transaction, Consumer<TransactionResult> callback) {
    double writeCost = transaction.puts().size() + transaction.deletes().size();
    return queue.enqueue(priority, 1, writeCost, () -> sendTransaction(transaction, callback));
  }

  private void sendTransaction(Transaction transaction, Consumer<TransactionResult> callback) {
    ResultCode refusal = refusedTransactions.refusal(transaction);
    if (refusal != null) {
      callback.accept(new TransactionResult(refusal, 0));
      return;
    }
    long sentMs = clock.now();
    effects.transact(
        transaction,
        result -> {
          recordContact(result.code(), sentMs);
          refusedTransactions.record(transaction, result.code());
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

  /** Reads a key; see {@link StateStore#read}. */
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

  /** Reads the page of keys after {@code afterKey}, or the first page if it is null. */
  void list(String afterKey, Consumer<ListResult> callback) {
    queue.chargeRequest();
    effects.list(
        afterKey,
        page -> {
          recordContact(page.code(), clock.now());
          callback.accept(page);
        });
  }

  /** Waits up to {@link Constants#WATCH_TIMEOUT_MS} for changes after this revision. */
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

  /** Requests a new lease for the session. */
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

  /** Requests the renewal of the session lease. */
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
