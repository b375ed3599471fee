package mallowstall;

import java.util.List;
import java.util.function.Consumer;
import mallowstall.cloud.CloudClient;
import mallowstall.core.Effects;
import mallowstall.core.Model.Command;
import mallowstall.core.Model.Entry;
import mallowstall.core.Model.MachineType;
import mallowstall.core.Model.PeerMessage;
import mallowstall.core.Model.RentRequest;
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
  public void transact(Txn txn, Consumer<TxnReply> then) {
    long sentNanos = System.nanoTime();
    state.transact(
        txn,
        reply -> {
          metrics.timeNanos(ControllerMetrics.STATE_WRITE, System.nanoTime() - sentNanos);
          then.accept(reply);
        });
  }

  @Override
  public int encodedSize(Entry value) {
    return state.encodedSize(value);
  }

  @Override
  public void get(String key, Consumer<GetReply> then) {
    state.get(key, then);
  }

  @Override
  public void list(String after, Consumer<ListReply> then) {
    state.list(after, then);
  }

  @Override
  public void watch(long after, long holdMs, Consumer<WatchReply> then) {
    state.watch(after, holdMs, then);
  }

  @Override
  public void grantLease(long ttlMs, Consumer<LeaseReply> then) {
    state.grantLease(ttlMs, then);
  }

  @Override
  public void renewLease(long lease, Consumer<LeaseReply> then) {
    state.renewLease(lease, then);
  }

  @Override
  public void send(String node, PeerMessage message) {
    peers.send(node, message);
  }

  @Override
  public void order(
      String addr, long token, long session, List<Command> commands, Consumer<OrderReply> then) {
    workers.order(addr, token, session, commands, then);
  }

  @Override
  public void types(Consumer<List<MachineType>> then) {
    cloud.types(then);
  }

  @Override
  public void rent(RentRequest request, Consumer<RentReply> then) {
    long sentNanos = System.nanoTime();
    cloud.rent(
        request,
        reply -> {
          metrics.timeNanos(ControllerMetrics.CLOUD_RENT, System.nanoTime() - sentNanos);
          then.accept(reply);
        });
  }

  @Override
  public void returnMachines(List<String> machines, Consumer<Boolean> then) {
    cloud.returnMachines(machines, then);
  }

  @Override
  public void listMachines(String after, Consumer<ListedReply> then) {
    cloud.listMachines(after, then);
  }
}
