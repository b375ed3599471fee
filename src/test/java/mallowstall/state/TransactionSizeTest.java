package mallowstall.state;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import mallowstall.core.kernel.Condition;
import mallowstall.core.kernel.PutOperation;
import mallowstall.core.kernel.Transaction;
import mallowstall.core.kv.TransactionSize;
import mallowstall.core.model.SessionEntry;
import mallowstall.core.model.TeamUsageEntry;
import mallowstall.json.JsonWriter;
import org.junit.jupiter.api.Test;

/** Compares the bound of a transaction's size with the bytes that are sent. */
class TransactionSizeTest {
  private static final String[] KEYS = {
    "c/j/wk-000001", "c/t/csapat-é", "c/t/\"quoted\"", "c/t/\u0001\u0002", "c/m/m-000001", "c"
  };

  /** Guards against a bound below the size that the state service measures. */
  @Test
  void boundIsAtLeastTheSizeThatIsSent() {
    Random random = new Random(71);
    for (int round = 0; round < 500; round++) {
      Transaction transaction = randomTransaction(random);
      int bound = TransactionSize.of(transaction, value -> StoredEntries.encode(value).length);
      int sent = JsonWriter.object(out -> StateCodec.write(out, transaction)).length;
      assertTrue(bound >= sent, sent + " bytes of " + transaction);
    }
  }

  private static Transaction randomTransaction(Random random) {
    List<Condition> conditions = new ArrayList<>();
    List<PutOperation> puts = new ArrayList<>();
    List<String> deletes = new ArrayList<>();
    for (int i = random.nextInt(12); i > 0; i--) {
      String key = KEYS[random.nextInt(KEYS.length)];
      switch (random.nextInt(4)) {
        case 0 -> conditions.add(new Condition(key, random.nextLong()));
        case 1 -> deletes.add(key);
        case 2 -> puts.add(new PutOperation(key, new SessionEntry(key, i), random.nextLong()));
        default -> puts.add(new PutOperation(key, new TeamUsageEntry(random.nextDouble(), i), 0));
      }
    }
    return new Transaction(conditions, puts, deletes);
  }
}
