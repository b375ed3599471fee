package mallowstall.core.kernel;

import java.util.List;
import java.util.function.Consumer;
import mallowstall.core.model.MachineType;
import mallowstall.core.model.PeerMessage;
import mallowstall.core.model.ScaleOutRequest;
import mallowstall.core.model.StoredEntry;
import mallowstall.core.model.WorkerCommand;

/**
 * All that the core asks of the outside: the state service, peers, workers and the cloud.
 *
 * <p>Every call returns at once and does no I/O on the caller's behalf before it returns. A
 * callback is called once, as an event of its own on the event loop, or within the call if nothing
 * could be sent; calls end in any order, and one that times out ends with an outcome that says so.
 * Failures come as results, never as exceptions. Durations are in ms.
 */
public interface Effects {

  /**
   * Changes keys of the state service, all or none, if every condition holds. May commit after its
   * timeout: {@link ResultCode#OUTCOME_UNKNOWN} says nothing of whether or when it does.
   */
  void transact(Transaction transaction, Consumer<TransactionResult> callback);

  /** The size in bytes of the value as the state service measures it; computed at once. */
  int encodedSizeBytes(StoredEntry value);

  /** Reads one key; the result is at least as new as the call. */
  void get(String key, Consumer<GetResult> callback);

  /** Reads a page of all keys in their order, from after this key; null: from the first one. */
  void list(String afterKey, Consumer<ListResult> callback);

  /**
   * Waits for changes after this revision, for up to {@code waitMs}; no events: none came in time.
   * {@link ResultCode#EXPIRED}: the service no longer has all of them, so list again.
   */
  void watch(long afterRevision, long waitMs, Consumer<WatchResult> callback);

  /** Requests a new lease that lasts {@code ttlMs} from some time between call and result. */
  void grantLease(long ttlMs, Consumer<LeaseResult> callback);

  /**
   * Renews a lease for its time to live, from some time between call and result. {@link
   * ResultCode#EXPIRED}: it has ended, and the keys attached to it are deleted.
   */
  void renewLease(long leaseId, Consumer<LeaseResult> callback);

  /**
   * Sends a message to a peer. It may be lost or arrive late, after others or by a connection that
   * has been replaced since; the sender gets no answer.
   */
  void send(String node, PeerMessage message);

  /**
   * Sends commands to a worker's own address, in place of the answer to a heartbeat.
   *
   * @param address host and port of the worker
   * @param fencingToken the token by which this controller leads the machine
   * @param session the worker session for which they are meant
   */
  void sendCommands(
      String address,
      long fencingToken,
      long session,
      List<WorkerCommand> commands,
      Consumer<CommandResult> callback);

  /** Reads the machine types that the cloud offers; null: that failed. */
  void fetchMachineTypes(Consumer<List<MachineType>> callback);

  /** Rents machines; they cost from the cloud's answer on, whether that arrives or not. */
  void scaleOut(ScaleOutRequest request, Consumer<ScaleOutResult> callback);

  /** Returns machines to the cloud; false: perhaps not done, and may be repeated. */
  void scaleIn(List<String> machines, Consumer<Boolean> callback);

  /** Reads a page of the cloud's list of rented machines, from after this id; null: the first. */
  void listMachines(String afterId, Consumer<InventoryPage> callback);
}
