package mallowstall.core;

import java.util.List;
import java.util.function.Consumer;
import mallowstall.core.Model.Command;
import mallowstall.core.Model.Entry;
import mallowstall.core.Model.Listed;
import mallowstall.core.Model.MachineType;
import mallowstall.core.Model.PeerMessage;
import mallowstall.core.Model.RentRequest;
import mallowstall.core.Model.Report;

/** What the core asks of the world. Every call returns at once; answers come back as events. */
public interface Effects {
  enum Code {
    OK,
    CONFLICT,
    NO_LEASE,
    GONE,
    /** Surely not executed. */
    REFUSED,
    /** Surely not executed, nor ever as it is: a value or the transaction is too large. */
    MALFORMED,
    /** Perhaps executed, perhaps later. */
    UNKNOWN
  }

  record Cond(String key, long version) {}

  record Put(String key, Entry value, long lease) {}

  /** One atomic change; {@code drops} are deleted keys. */
  record Txn(List<Cond> when, List<Put> puts, List<String> drops) {}

  record TxnReply(Code code, long revision) {}

  /** {@code value} null with code OK: the key doesn't exist. */
  record Item(String key, Entry value, long version) {}

  record GetReply(Code code, Item item) {}

  record ListReply(Code code, List<Item> items, boolean more, long revision) {}

  /** Events in order; an item with a null value was deleted. */
  record WatchReply(Code code, List<Item> events, long revision) {}

  record LeaseReply(Code code, long lease) {}

  record RentReply(int status, List<String> machines) {}

  record ListedReply(boolean ok, List<Listed> machines, boolean more) {}

  void transact(Txn txn, Consumer<TxnReply> then);

  /** Bytes of the value as the state service gets and measures it. */
  int encodedSize(Entry value);

  void get(String key, Consumer<GetReply> then);

  void list(String after, Consumer<ListReply> then);

  void watch(long after, long holdMs, Consumer<WatchReply> then);

  void grantLease(long ttlMs, Consumer<LeaseReply> then);

  void renewLease(long lease, Consumer<LeaseReply> then);

  void send(String node, PeerMessage message);

  /**
   * Commands sent straight to a worker. {@code report} is the worker's report after them, null when
   * there is none; code OK: executed; CONFLICT: not executed; REFUSED: never sent; UNKNOWN: may be
   * executed at any later time.
   */
  record OrderReply(Code code, Report report) {}

  void order(
      String addr, long token, long session, List<Command> commands, Consumer<OrderReply> then);

  void types(Consumer<List<MachineType>> then);

  void rent(RentRequest request, Consumer<RentReply> then);

  void giveBack(List<String> machines, Consumer<Boolean> then);

  void listMachines(String after, Consumer<ListedReply> then);
}
