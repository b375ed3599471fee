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

/** The core's effects, each through its adapter. Used on the event loop only. */
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
   * Adds the adapters that call the core themselves and so are made after it. The core mustn't run
   * an event before.
   */
  void connect(PeerConnections peers, WorkerHttpAdapter workers) {
    this.peers = peers;
    this.workers = workers;
  }

  @Override
  public void transact(Transaction txn, Consumer<TransactionResult> then) {
    long sentNanos = System.nanoTime();
    state.transact(
        txn,
        reply -> {
          metrics.timeNanos(ControllerMetrics.STATE_WRITE, System.nanoTime() - sentNanos);
          then.accept(reply);
        });
  }

  @Override
  public int encodedSizeBytes(StoredEntry value) {
    return state.encodedSize(value);
  }

  @Override
  public void get(String key, Consumer<GetResult> then) {
    state.get(key, then);
  }

  @Override
  public void list(String after, Consumer<ListResult> then) {
    state.list(after, then);
  }

  @Override
  public void watch(long after, long holdMs, Consumer<WatchResult> then) {
    state.watch(after, holdMs, then);
  }

  @Override
  public void grantLease(long ttlMs, Consumer<LeaseResult> then) {
    state.grantLease(ttlMs, then);
  }

  @Override
  public void renewLease(long lease, Consumer<LeaseResult> then) {
    state.renewLease(lease, then);
  }

  @Override
  public void send(String node, PeerMessage message) {
    peers.send(node, message);
  }

  @Override
  public void sendCommands(
      String addr,
      long token,
      long session,
      List<WorkerCommand> commands,
      Consumer<CommandResult> then) {
    workers.order(addr, token, session, commands, then);
  }

  @Override
  public void fetchMachineTypes(Consumer<List<MachineType>> then) {
    cloud.types(then);
  }

  @Override
  public void scaleOut(ScaleOutRequest request, Consumer<ScaleOutResult> then) {
    long sentNanos = System.nanoTime();
    cloud.rent(
        request,
        reply -> {
          metrics.timeNanos(ControllerMetrics.CLOUD_RENT, System.nanoTime() - sentNanos);
          then.accept(reply);
        });
  }

  @Override
  public void scaleIn(List<String> machines, Consumer<Boolean> then) {
    cloud.returnMachines(machines, then);
  }

  @Override
  public void listMachines(String after, Consumer<InventoryPage> then) {
    cloud.listMachines(after, then);
  }
}
