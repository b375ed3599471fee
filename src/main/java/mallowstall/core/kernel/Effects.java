package mallowstall.core.kernel;

import java.util.List;
import java.util.function.Consumer;
import mallowstall.core.model.MachineType;
import mallowstall.core.model.PeerMessage;
import mallowstall.core.model.ScaleOutRequest;
import mallowstall.core.model.StoredEntry;
import mallowstall.core.model.WorkerCommand;

/**
 * The interface through which the core calls the state service, peers, workers and the cloud.
 *
 * <p>No method blocks or does I/O on the caller's behalf before it returns. Each callback is called
 * exactly once. It is called as an event of its own on the event loop, or within the method if
 * nothing could be sent. Requests complete in any order. A request that times out completes with a
 * result that indicates the timeout. Failures are reported as results, never as exceptions.
 * Durations are in milliseconds.
 */
public interface Effects {

  /**
   * Changes keys of the state service atomically if every condition holds. A transaction may commit
   * after its timeout, so {@link ResultCode#OUTCOME_UNKNOWN} doesn't tell whether or when it
   * commits.
   */
  void transact(Transaction transaction, Consumer<TransactionResult> callback);

  /**
   * Returns the size of the value in bytes, as the state service measures it. The size is computed
   * locally, without a request.
   */
  int encodedSizeBytes(StoredEntry value);

  /** Reads one key. The result is at least as recent as the call. */
  void get(String key, Consumer<GetResult> callback);

  /**
   * Reads a page of all keys in key order. The page starts after {@code afterKey}, or at the first
   * key if {@code afterKey} is null.
   */
  void list(String afterKey, Consumer<ListResult> callback);

  /**
   * Waits up to {@code waitMs} for changes after this revision. The result has no events if none
   * occurred in that time. {@link ResultCode#EXPIRED} means that the state service no longer has
   * all changes after the revision, so that the caller must list all keys again. The callback may
   * first be called with any number of {@link ResultCode#PARTIAL} results, each an event of its
   * own.
   */
  void watch(long afterRevision, long waitMs, Consumer<WatchResult> callback);

  /**
   * Requests a new lease. Its lifetime of {@code ttlMs} starts at some time between the call and
   * the result.
   */
  void grantLease(long ttlMs, Consumer<LeaseResult> callback);

  /**
   * Renews a lease for its time to live, which starts again at some time between the call and the
   * result. {@link ResultCode#EXPIRED} means that the lease has ended and the keys attached to it
   * are deleted.
   */
  void renewLease(long leaseId, Consumer<LeaseResult> callback);

  /**
   * Sends a message to a peer. The message may be lost, or arrive late, after later messages or
   * over a connection that has been replaced since. The sender receives no response.
   */
  void send(String node, PeerMessage message);

  /**
   * Sends direct commands to a worker's own address, instead of in the response to a heartbeat.
   *
   * @param address the host and port of the worker
   * @param fencingToken the token with which this controller leads the machine
   * @param session the worker session for which the commands are intended
   */
  void sendCommands(
      String address,
      long fencingToken,
      long session,
      List<WorkerCommand> commands,
      Consumer<CommandResult> callback);

  /** Reads the machine types that the cloud offers. The callback receives null if that failed. */
  void fetchMachineTypes(Consumer<List<MachineType>> callback);

  /**
   * Rents machines. They are charged from the time of the cloud's response, even if the response
   * doesn't arrive.
   */
  void scaleOut(ScaleOutRequest request, Consumer<ScaleOutResult> callback);

  /**
   * Returns machines to the cloud. The callback receives false if the machines may not have been
   * returned; the call may then be repeated.
   */
  void scaleIn(List<String> machines, Consumer<Boolean> callback);

  /**
   * Reads a page of the cloud's list of rented machines. The page starts after the machine {@code
   * afterId}, or at the first machine if {@code afterId} is null.
   */
  void listMachines(String afterId, Consumer<InventoryPage> callback);
}
