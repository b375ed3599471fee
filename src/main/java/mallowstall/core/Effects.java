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
  /** How a request to the state service, or to a worker, has ended. */
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

  /** A key that must stand at this version; 0: it must not exist. */
  record Cond(String key, long version) {}

  /** A key's new value, attached to this lease; 0: to none. */
  record Put(String key, Entry value, long lease) {}

  /** One atomic change; {@code drops} are deleted keys. */
  record Txn(List<Cond> when, List<Put> puts, List<String> drops) {}

  /** How a transaction has ended, and its revision. */
  record TxnReply(Code code, long revision) {}

  /** {@code value} null with code OK: the key doesn't exist. */
  record Item(String key, Entry value, long version) {}

  /** A key that was read. */
  record GetReply(Code code, Item item) {}

  /** A page of keys, and the revision that it was read at. */
  record ListReply(Code code, List<Item> items, boolean more, long revision) {}

  /** Events in order; an item with a null value was deleted. */
  record WatchReply(Code code, List<Item> events, long revision) {}

  /** How a request for a lease has ended. */
  record LeaseReply(Code code, long lease) {}

  /** The status of a rental, and the machines rented. */
  record RentReply(int status, List<String> machines) {}

  /** A page of the cloud's list of machines. */
  record ListedReply(boolean ok, List<Listed> machines, boolean more) {}

  /** Changes keys of the state service, all or none. */
  void transact(Txn txn, Consumer<TxnReply> then);

  /** Bytes of the value as the state service gets and measures it. */
  int encodedSize(Entry value);

  /** Reads one key. */
  void get(String key, Consumer<GetReply> then);

  /** Reads a page of keys after this one. */
  void list(String after, Consumer<ListReply> then);

  /** Waits for changes after this revision. */
  void watch(long after, long holdMs, Consumer<WatchReply> then);

  /** Asks for a new lease. */
  void grantLease(long ttlMs, Consumer<LeaseReply> then);

  /** Renews a lease. */
  void renewLease(long lease, Consumer<LeaseReply> then);

  /** Sends a message to a peer; it may be lost. */
  void send(String node, PeerMessage message);

  /**
   * Commands sent straight to a worker. {@code report} is the worker's report after them, null when
   * there is none; code OK: executed; CONFLICT: not executed; REFUSED: never sent; UNKNOWN: may be
   * executed at any later time.
   */
  record OrderReply(Code code, Report report) {}

  /** Sends commands to a worker's own address. */
  void order(
      String addr, long token, long session, List<Command> commands, Consumer<OrderReply> then);

  /** Reads the machine types; null: that failed. */
  void types(Consumer<List<MachineType>> then);

  /** Rents machines. */
  void rent(RentRequest request, Consumer<RentReply> then);

  /** Returns machines; true: they are gone. */
  void returnMachines(List<String> machines, Consumer<Boolean> then);

  /** Reads a page of the cloud's list of machines. */
  void listMachines(String after, Consumer<ListedReply> then);
}
