package mallowstall.core.kernel;

import java.util.List;
import java.util.function.Consumer;
import mallowstall.core.model.MachineType;
import mallowstall.core.model.PeerMessage;
import mallowstall.core.model.ScaleOutRequest;
import mallowstall.core.model.StoredEntry;
import mallowstall.core.model.WorkerCommand;

/** What the core asks of the world. Every call returns at once; answers come back as events. */
public interface Effects {

  /** Changes keys of the state service, all or none. */
  void transact(Transaction transaction, Consumer<TransactionResult> callback);

  /** Bytes of the value as the state service gets and measures it. */
  int encodedSizeBytes(StoredEntry value);

  /** Reads one key. */
  void get(String key, Consumer<GetResult> callback);

  /** Reads a page of keys after this one. */
  void list(String afterKey, Consumer<ListResult> callback);

  /** Waits for changes after this revision. */
  void watch(long afterRevision, long waitMs, Consumer<WatchResult> callback);

  /** Asks for a new lease. */
  void grantLease(long ttlMs, Consumer<LeaseResult> callback);

  /** Renews a lease. */
  void renewLease(long leaseId, Consumer<LeaseResult> callback);

  /** Sends a message to a peer; it may be lost. */
  void send(String node, PeerMessage message);

  /** Sends commands to a worker's own address. */
  void sendCommands(
      String address,
      long fencingToken,
      long session,
      List<WorkerCommand> commands,
      Consumer<CommandResult> callback);

  /** Reads the machine types; null: that failed. */
  void fetchMachineTypes(Consumer<List<MachineType>> callback);

  /** Rents machines. */
  void scaleOut(ScaleOutRequest request, Consumer<ScaleOutResult> callback);

  /** Returns machines; true: they are gone. */
  void scaleIn(List<String> machines, Consumer<Boolean> callback);

  /** Reads a page of the cloud's list of machines. */
  void listMachines(String afterId, Consumer<InventoryPage> callback);
}
