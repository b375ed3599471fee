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
 * One process of a simulated controller, which can stand still at a chosen point of an event: until
 * the stall is over nothing leaves it and it handles no further event, while its clocks run on.
 */
final class StallableProcess implements Effects {
  private final ForcedHistory history;
  private final SimulatedController node;
  private final Effects world;
  private final int processNumber;

  /** ms. Stalls that are still to come, each once. */
  private final Map<StallPoint, Long> plannedStalls = new EnumMap<>(StallPoint.class);

  private long stalledUntilMs;

  /** What leaves the process goes to {@code world}, its messages by way of the history. */
  StallableProcess(ForcedHistory history, SimulatedController node, Effects world) {
    this.history = history;
    this.node = node;
    this.world = world;
    this.processNumber = node.processNumber;
  }

  /** The last look at its own clock before the write, as by the connections of a controller. */
  ApiResponse checkedAtWrite(ApiResponse decided) {
    return node.checkedAtWrite(decided);
  }

  /** Stands still for so many ms when it next gets there. */
  void planStall(StallPoint point, long stallMs) {
    plannedStalls.put(point, stallMs);
  }

  /** Whether it has got to all points at which it was to stand still. */
  boolean hadItsStalls() {
    return plannedStalls.isEmpty();
  }

  /** The process is at this point now: from here on it stands still if that is planned. */
  void reach(StallPoint point) {
    Long stallMs = plannedStalls.remove(point);
    if (stallMs == null || stallMs == 0) {
      return;
    }
    stalledUntilMs = history.nowMs() + stallMs;
    history.trace(node.name + " stands still for " + stallMs + " ms: " + point);
    // an event can't be paused from within: no further one is handled, nor a timer
    history.simulation.schedule(0, () -> pauseEvents(stalledUntilMs));
  }

  private void pauseEvents(long untilMs) {
    if (isAlive() && untilMs > history.nowMs()) {
      node.pauseMs = untilMs - history.nowMs();
      node.enqueueEvent(() -> {});
    }
  }

  /** What leaves the process leaves now, or when the stall is over if the process lives then. */
  void leave(Runnable departure) {
    if (stalledUntilMs <= history.nowMs()) {
      departure.run();
      return;
    }
    history.simulation.schedule(
        stalledUntilMs - history.nowMs(),
        () -> {
          if (isAlive()) {
            departure.run();
          }
        });
  }

  private boolean isAlive() {
    return node.running && node.processNumber == processNumber;
  }

  @Override
  public void get(String key, Consumer<GetResult> callback) {
    if (!key.equals(StateKeys.job(ForcedHistory.JOB))) {
      leave(() -> world.get(key, callback));
      return;
    }
    reach(StallPoint.BEFORE_READ_SENT);
    leave(() -> sendRead(key, callback));
  }

  private void sendRead(String key, Consumer<GetResult> callback) {
    history.trace(node.name + " sends its read");
    world.get(
        key,
        result -> {
          history.trace(node.name + " gets its read's answer: " + describe(result));
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
    leave(() -> history.send(node, peer, message, () -> world.send(peer, message)));
    if (grant) {
      reach(StallPoint.AFTER_GRANT_SENT);
    }
  }

  @Override
  public int encodedSizeBytes(StoredEntry value) {
    return world.encodedSizeBytes(value);
  }

  @Override
  public void transact(Transaction transaction, Consumer<TransactionResult> callback) {
    leave(() -> world.transact(transaction, callback));
  }

  @Override
  public void list(String afterKey, Consumer<ListResult> callback) {
    leave(() -> world.list(afterKey, callback));
  }

  @Override
  public void watch(long afterRevision, long waitMs, Consumer<WatchResult> callback) {
    leave(() -> world.watch(afterRevision, waitMs, callback));
  }

  @Override
  public void grantLease(long ttlMs, Consumer<LeaseResult> callback) {
    leave(() -> world.grantLease(ttlMs, callback));
  }

  @Override
  public void renewLease(long leaseId, Consumer<LeaseResult> callback) {
    leave(() -> world.renewLease(leaseId, callback));
  }

  @Override
  public void sendCommands(
      String address,
      long fencingToken,
      long session,
      List<WorkerCommand> commands,
      Consumer<CommandResult> callback) {
    leave(() -> world.sendCommands(address, fencingToken, session, commands, callback));
  }

  @Override
  public void fetchMachineTypes(Consumer<List<MachineType>> callback) {
    leave(() -> world.fetchMachineTypes(callback));
  }

  @Override
  public void scaleOut(ScaleOutRequest request, Consumer<ScaleOutResult> callback) {
    leave(() -> world.scaleOut(request, callback));
  }

  @Override
  public void scaleIn(List<String> machines, Consumer<Boolean> callback) {
    leave(() -> world.scaleIn(machines, callback));
  }

  @Override
  public void listMachines(String afterId, Consumer<InventoryPage> callback) {
    leave(() -> world.listMachines(afterId, callback));
  }
}
