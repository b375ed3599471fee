package mallowstall;

import java.util.List;
import java.util.function.Consumer;
import mallowstall.cloud.CloudClient;
import mallowstall.core.kernel.CommandResult;
import mallowstall.core.kernel.Effects;
import mallowstall.core.kernel.GetResult;
import mallowstall.core.kernel.InventoryPage;
import mallowstall.core.kernel.LeaseResult;
import mallowstall.core.kernel.ListResult;
import mallowstall.core.kernel.ScaleOutResult;
import mallowstall.core.kernel.Transaction;
import mallowstall.core.kernel.TransactionResult;
import mallowstall.core.kernel.WatchResult;
import mallowstall.core.model.MachineType;
import mallowstall.core.model.PeerMessage;
import mallowstall.core.model.ScaleOutRequest;
import mallowstall.core.model.StoredEntry;
import mallowstall.core.model.WorkerCommand;
import mallowstall.peers.PeerConnections;
import mallowstall.state.StateServiceClient;
import mallowstall.workers.WorkerHttpAdapter;

/**
 * Carries out each of the core's effects through the adapter concerned. Used on the event loop
 * only.
 */
final class AdapterEffects implements Effects {
  private final StateServiceClient state;
  private final CloudClient cloud;
  private final ControllerMetrics metrics;
  private PeerConnections peers;
  private WorkerHttpAdapter workers;

  AdapterEffects(StateServiceClient state, CloudClient cloud, ControllerMetrics metrics) {
    this.state = state;
    this.cloud = cloud;
    this.metrics = metrics;
  }

  /**
   * Sets the adapters that call the core and are therefore created after the core. The core must
   * not run an event before this call.
   */
  void connect(PeerConnections peers, WorkerHttpAdapter workers) {
    this.peers = peers;
    this.workers = workers;
  }

  @Override
  public void transact(Transaction transaction, Consumer<TransactionResult> callback) {
    long sentNanos = System.nanoTime();
    state.transact(
        transaction,
        reply -> {
          metrics.recordNanos(ControllerMetrics.STATE_WRITE, System.nanoTime() - sentNanos);
          callback.accept(reply);
        });
  }

  @Override
  public int encodedSizeBytes(StoredEntry value) {
    return state.encodedSizeBytes(value);
  }

  @Override
  public void get(String key, Consumer<GetResult> callback) {
    state.get(key, callback);
  }

  @Override
  public void list(String afterKey, Consumer<ListResult> callback) {
    state.list(afterKey, callback);
  }

  @Override
  public void watch(long afterRevision, long waitMs, Consumer<WatchResult> callback) {
    state.watch(afterRevision, waitMs, callback);
  }

  @Override
  public void grantLease(long ttlMs, Consumer<LeaseResult> callback) {
    state.grantLease(ttlMs, callback);
  }

  @Override
  public void renewLease(long leaseId, Consumer<LeaseResult> callback) {
    state.renewLease(leaseId, callback);
  }

  @Override
  public void send(String node, PeerMessage message) {
    peers.send(node, message);
  }

  @Override
  public void sendCommands(
      String address,
      long fencingToken,
      long session,
      List<WorkerCommand> commands,
      Consumer<CommandResult> callback) {
    workers.sendCommands(address, fencingToken, session, commands, callback);
  }

  @Override
  public void fetchMachineTypes(Consumer<List<MachineType>> callback) {
    cloud.fetchMachineTypes(callback);
  }

  @Override
  public void scaleOut(ScaleOutRequest request, Consumer<ScaleOutResult> callback) {
    long sentNanos = System.nanoTime();
    cloud.scaleOut(
        request,
        reply -> {
          metrics.recordNanos(ControllerMetrics.CLOUD_SCALE_OUT, System.nanoTime() - sentNanos);
          callback.accept(reply);
        });
  }

  @Override
  public void scaleIn(List<String> machines, Consumer<Boolean> callback) {
    cloud.scaleIn(machines, callback);
  }

  @Override
  public void listMachines(String afterId, Consumer<InventoryPage> callback) {
    cloud.listMachines(afterId, callback);
  }
}
