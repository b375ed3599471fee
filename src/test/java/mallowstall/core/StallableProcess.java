package mallowstall.core;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import mallowstall.core.kernel.CommandResult;
import mallowstall.core.kernel.Effects;
import mallowstall.core.kernel.GetResult;
import mallowstall.core.kernel.InventoryPage;
import mallowstall.core.kernel.LeaseResult;
import mallowstall.core.kernel.ListResult;
import mallowstall.core.kernel.ResultCode;
import mallowstall.core.kernel.ScaleOutResult;
import mallowstall.core.kernel.Transaction;
import mallowstall.core.kernel.TransactionResult;
import mallowstall.core.kernel.WatchResult;
import mallowstall.core.kv.StateKeys;
import mallowstall.core.model.AcceptanceReply;
import mallowstall.core.model.ApiResponse;
import mallowstall.core.model.JobEntry;
import mallowstall.core.model.MachineType;
import mallowstall.core.model.PeerMessage;
import mallowstall.core.model.ScaleOutRequest;
import mallowstall.core.model.StoredEntry;
import mallowstall.core.model.WorkerCommand;

/**
 * One process of a simulated controller that can stall at a chosen point of an event. During a
 * stall it sends nothing and handles no further event, while its clocks advance.
 */
final class StallableProcess implements Effects {
  private final ForcedHistory history;
  private final SimulatedController node;
  private final Effects delegate;
  private final int processNumber;

  /** Durations of the planned stalls in milliseconds. Each one is removed when it starts. */
  private final Map<StallPoint, Long> plannedStalls = new EnumMap<>(StallPoint.class);

  private long stalledUntilMs;

  /** Creates a process whose effects go to {@code delegate}, messages by way of the history. */
  StallableProcess(ForcedHistory history, SimulatedController node, Effects delegate) {
    this.history = history;
    this.node = node;
    this.delegate = delegate;
    this.processNumber = node.processNumber;
  }

  /**
   * Returns the answer, or an expired response if the answer may no longer be sent. The connections
   * of a real controller also check this against their clock right before they write.
   */
  ApiResponse checkedAtWrite(ApiResponse decided) {
    return node.checkedAtWrite(decided);
  }

  /** Plans a stall of {@code stallMs} milliseconds for when the process next reaches the point. */
  void planStall(StallPoint point, long stallMs) {
    plannedStalls.put(point, stallMs);
  }

  /** Returns whether the process has reached all points at which a stall was planned. */
  boolean hasReachedAllStalls() {
    return plannedStalls.isEmpty();
  }

  /** Marks that the process reaches this point now, and starts the stall if one is planned. */
  void reach(StallPoint point) {
    Long stallMs = plannedStalls.remove(point);
    if (stallMs == null || stallMs == 0) {
      return;
    }
    stalledUntilMs = history.nowMs() + stallMs;
    history.trace(node.name + " stalls for " + stallMs + " ms: " + point);
    // A running event can't pause itself. The pause event delays later events and timers instead.
    history.simulation.schedule(0, () -> pauseEvents(stalledUntilMs));
  }

  private void pauseEvents(long untilMs) {
    if (isAlive() && untilMs > history.nowMs()) {
      node.pauseMs = untilMs - history.nowMs();
      node.enqueueEvent(() -> {});
    }
  }

  /** Runs the action now, or at the end of the present stall if the process still runs then. */
  void runAfterStall(Runnable action) {
    if (stalledUntilMs <= history.nowMs()) {
      action.run();
      return;
    }
    history.simulation.schedule(
        stalledUntilMs - history.nowMs(),
        () -> {
          if (isAlive()) {
            action.run();
          }
        });
  }

  private boolean isAlive() {
    return node.running && node.processNumber == processNumber;
  }

  @Override
  public void get(String key, Consumer<GetResult> callback) {
    if (!key.equals(StateKeys.job(ForcedHistory.JOB))) {
      runAfterStall(() -> delegate.get(key, callback));
      return;
    }
    reach(StallPoint.BEFORE_READ_SENT);
    runAfterStall(() -> sendRead(key, callback));
  }

  private void sendRead(String key, Consumer<GetResult> callback) {
    history.trace(node.name + " sends its read request");
    delegate.get(
        key,
        result -> {
          history.trace(node.name + " receives the response to its read: " + describe(result));
          reach(StallPoint.AFTER_READ_ANSWERED);
          callback.accept(result);
        });
  }

  private static String describe(GetResult result) {
    if (result.code() != ResultCode.OK) {
      return result.code().toString();
    }
    return result.item().value() instanceof JobEntry job ? job.outcome().toString() : "no entry";
  }

  @Override
  public void send(String peer, PeerMessage message) {
    boolean grant = message instanceof AcceptanceReply;
    if (grant) {
      reach(StallPoint.BEFORE_GRANT_SENT);
    }
    runAfterStall(() -> history.send(node, peer, message, () -> delegate.send(peer, message)));
    if (grant) {
      reach(StallPoint.AFTER_GRANT_SENT);
    }
  }

  @Override
  public int encodedSizeBytes(StoredEntry value) {
    return delegate.encodedSizeBytes(value);
  }

  @Override
  public void transact(Transaction transaction, Consumer<TransactionResult> callback) {
    runAfterStall(() -> delegate.transact(transaction, callback));
  }

  @Override
  public void list(String afterKey, Consumer<ListResult> callback) {
    runAfterStall(() -> delegate.list(afterKey, callback));
  }

  @Override
  public void watch(long afterRevision, long waitMs, Consumer<WatchResult> callback) {
    runAfterStall(() -> delegate.watch(afterRevision, waitMs, callback));
  }

  @Override
  public void grantLease(long ttlMs, Consumer<LeaseResult> callback) {
    runAfterStall(() -> delegate.grantLease(ttlMs, callback));
  }

  @Override
  public void renewLease(long leaseId, Consumer<LeaseResult> callback) {
    runAfterStall(() -> delegate.renewLease(leaseId, callback));
  }

  @Override
  public void sendCommands(
      String address,
      long fencingToken,
      long session,
      List<WorkerCommand> commands,
      Consumer<CommandResult> callback) {
    runAfterStall(() -> delegate.sendCommands(address, fencingToken, session, commands, callback));
  }

  @Override
  public void fetchMachineTypes(Consumer<List<MachineType>> callback) {
    runAfterStall(() -> delegate.fetchMachineTypes(callback));
  }

  @Override
  public void scaleOut(ScaleOutRequest request, Consumer<ScaleOutResult> callback) {
    runAfterStall(() -> delegate.scaleOut(request, callback));
  }

  @Override
  public void scaleIn(List<String> machines, Consumer<Boolean> callback) {
    runAfterStall(() -> delegate.scaleIn(machines, callback));
  }

  @Override
  public void listMachines(String afterId, Consumer<InventoryPage> callback) {
    runAfterStall(() -> delegate.listMachines(afterId, callback));
  }
}
