package mallowstall.core.kv;

import java.util.LinkedHashMap;
import java.util.Map;
import mallowstall.core.kernel.ResultCode;
import mallowstall.core.kernel.Transaction;

/**
 * Remembers transactions that the state service has refused for what they contain. It would refuse
 * them again, so they are not sent again unchanged, whoever requests them. Mutable.
 */
final class RefusedTransactions {
  /** Maximum number of transactions remembered; the oldest ones are forgotten first. */
  private static final int REMEMBERED_MAX = 100;

  private final Map<Transaction, ResultCode> refusals =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Transaction, ResultCode> eldest) {
          return size() > REMEMBERED_MAX;
        }
      };

  /** Records the result of a transaction. */
  void record(Transaction transaction, ResultCode code) {
    if (code == ResultCode.INVALID || code == ResultCode.LEASE_NOT_FOUND) {
      refusals.put(transaction, code);
    }
  }

  /** Returns the code with which the same transaction was refused, or null. */
  ResultCode refusal(Transaction transaction) {
    return refusals.isEmpty() ? null : refusals.get(transaction);
  }
}
