package mallowstall.core;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Supplier;
import mallowstall.Constants;
import mallowstall.core.kernel.GetResult;
import mallowstall.core.kernel.KeyValue;
import mallowstall.core.kernel.LeaseResult;
import mallowstall.core.kernel.ListResult;
import mallowstall.core.kernel.PutOperation;
import mallowstall.core.kernel.ResultCode;
import mallowstall.core.kernel.Transaction;
import mallowstall.core.kernel.TransactionResult;
import mallowstall.core.kernel.WatchResult;
import mallowstall.core.kv.StateKeys;
import mallowstall.core.model.JobEntry;
import mallowstall.core.model.JobKind;
import mallowstall.core.model.JobOutcome;
import mallowstall.core.model.JobSpecBuilder;
import mallowstall.core.model.MachineEntry;
import mallowstall.core.model.StoredEntry;

/** The state service as one controller sees it: slow, lossy, cut off, or of an older version. */
final class StateServiceLink {
  private final Simulation simulation;
  private final SimulatedController node;

  /** Writes of single machine entries that are unanswered, and the most there were. */
  private int machineWritesInFlight;

  StateServiceLink(Simulation simulation, SimulatedController node) {
    this.simulation = simulation;
    this.node = node;
  }

  /** A request that the event under way decides on leaves when that is over. */
  private <T> void callStateService(Supplier<T> exec, T refused, T unknown, Consumer<T> then) {
    long decidedMs = simulation.nowMs;
    node.afterEvent(() -> transmit(decidedMs, exec, refused, unknown, then));
  }

  @SuppressWarnings("ReturnValueIgnored") // requests are executed whose answers are lost
  private <T> void transmit(
      long decidedMs, Supplier<T> exec, T refused, T unknown, Consumer<T> then) {
    if (isGivenUp(decidedMs)) {
      exec.get();
      node.scheduleReply(0, () -> then.accept(unknown));
      return;
    }
    if (simulation.stateService.outage || node.stateServiceUnreachable) {
      node.scheduleReply(5, () -> then.accept(refused));
      return;
    }
    double dice = simulation.random.nextDouble();
    if (dice < simulation.messageLossRate / 3) { // never arrives
      node.scheduleReply(Constants.STATE_TIMEOUT_MS, () -> then.accept(unknown));
    } else if (dice < simulation.messageLossRate * 2 / 3) { // executed, the answer is lost
      simulation.schedule(simulation.randomDelayMs(), exec::get);
      node.scheduleReply(Constants.STATE_TIMEOUT_MS, () -> then.accept(unknown));
    } else if (dice < simulation.messageLossRate) { // executed late
      simulation.schedule(500 + simulation.random.nextInt(4_000), exec::get);
      node.scheduleReply(Constants.STATE_TIMEOUT_MS, () -> then.accept(unknown));
    } else {
      long delayMs = simulation.randomDelayMs();
      int startedProcess = node.processNumber;
      if (simulation.maxStateDelayMs > 0) {
        callSlowly(exec, unknown, then);
        return;
      }
      simulation.schedule(
          delayMs,
          () -> {
            T task = exec.get();
            int still = node.processNumber;
            if (startedProcess == still) {
              node.scheduleReply(1 + node.stateDelayMs, () -> then.accept(task));
            }
          });
    }
  }

  /** Whether the controller has stood still for so long that it no longer waits for the answer. */
  private boolean isGivenUp(long decidedMs) {
    return simulation.nowMs - decidedMs >= Constants.STATE_TIMEOUT_MS;
  }

  /** Executed at some moment of the delay; what takes too long is given up on. */
  private <T> void callSlowly(Supplier<T> exec, T unknown, Consumer<T> then) {
    simulation.countFault("slowState");
    int totalDelayMs = randomSlowDelayMs();
    int startedProcess = node.processNumber;
    boolean late = totalDelayMs > Constants.STATE_TIMEOUT_MS;
    if (late) {
      node.scheduleReply(Constants.STATE_TIMEOUT_MS, () -> then.accept(unknown));
    }
    int before = simulation.random.nextInt(totalDelayMs);
    simulation.schedule(
        before,
        () -> {
          T task = exec.get();
          if (!late && startedProcess == node.processNumber) {
            node.scheduleReply(totalDelayMs - before, () -> then.accept(task));
          }
        });
  }

  private int randomSlowDelayMs() {
    return 300 + simulation.random.nextInt(Math.max(1, simulation.maxStateDelayMs - 300));
  }

  void transact(Transaction txn, Consumer<TransactionResult> reply) {
    boolean machineWrite = txn.puts().stream().anyMatch(put -> put.value() instanceof MachineEntry);
    Consumer<TransactionResult> counted = machineWrite ? countMachineWrite(reply) : reply;
    Consumer<TransactionResult> delayed =
        machineWrite && node.machineWriteDelayMs > 0
            ? result -> node.scheduleReply(node.machineWriteDelayMs, () -> counted.accept(result))
            : counted;
    long decidedMs = simulation.nowMs;
    node.afterEvent(() -> submitTransaction(decidedMs, txn, delayed));
  }

  private Consumer<TransactionResult> countMachineWrite(Consumer<TransactionResult> reply) {
    machineWritesInFlight++;
    node.maxMachineWritesInFlight = Math.max(node.maxMachineWritesInFlight, machineWritesInFlight);
    return result -> {
      machineWritesInFlight--;
      reply.accept(result);
    };
  }

  private void submitTransaction(
      long decidedMs, Transaction txn, Consumer<TransactionResult> then) {
    if (node.onNextFailover != null && isFailover(txn)) {
      Runnable action = node.onNextFailover;
      node.onNextFailover = null;
      simulation.countFault("claim");
      simulation.schedule(0, action);
    }
    boolean served =
        !simulation.stateService.outage && !node.stateServiceUnreachable && !isGivenUp(decidedMs);
    if (served
        && simulation.delayedTransactionRate > 0
        && simulation.random.nextDouble() < simulation.delayedTransactionRate) {
      simulation.countFault("lateWrites");
      simulation.schedule(
          2_000 + simulation.random.nextInt(10_000),
          () -> {
            if (!simulation.stateService.outage
                && simulation.stateService.transact(txn).code() == ResultCode.OK) {
              simulation.countFault("lateWrites, applied");
            }
          });
      node.scheduleReply(
          Constants.STATE_TIMEOUT_MS,
          () -> then.accept(new TransactionResult(ResultCode.OUTCOME_UNKNOWN, 0)));
      return;
    }
    transmit(
        decidedMs,
        () -> simulation.stateService.transact(txn),
        new TransactionResult(ResultCode.REJECTED, 0),
        new TransactionResult(ResultCode.OUTCOME_UNKNOWN, 0),
        then);
  }

  /** Whether the transaction takes over a job that another incarnation leads. */
  private boolean isFailover(Transaction txn) {
    for (PutOperation put : txn.puts()) {
      if (!(put.value() instanceof JobEntry claimed)) {
        continue;
      }
      SimulatedStateService.StoredValue present = simulation.stateService.entries.get(put.key());
      if (present == null || !(present.value() instanceof JobEntry before)) {
        continue;
      }
      if (claimed.epoch() > before.epoch()) {
        return true;
      }
    }
    return false;
  }

  void get(String key, Consumer<GetResult> then) {
    callStateService(
        () -> {
          simulation.stateService.expireLeases();
          SimulatedStateService.StoredValue stored = simulation.stateService.entries.get(key);
          if (stored == null) {
            return new GetResult(ResultCode.OK, new KeyValue(key, null, 0));
          }
          StoredEntry value = decodeForVersion(stored.value());
          if (value == null) {
            return new GetResult(ResultCode.REJECTED, null);
          }
          return new GetResult(ResultCode.OK, new KeyValue(key, value, stored.version()));
        },
        new GetResult(ResultCode.REJECTED, null),
        new GetResult(ResultCode.OUTCOME_UNKNOWN, null),
        then);
  }

  void list(String after, Consumer<ListResult> then) {
    callStateService(
        () -> {
          simulation.stateService.expireLeases();
          List<KeyValue> out = new ArrayList<>();
          boolean more = false;
          for (Map.Entry<String, SimulatedStateService.StoredValue> entry :
              simulation
                  .stateService
                  .entries
                  .tailMap(after == null ? "" : after, false)
                  .entrySet()) {
            if (!isVisible(entry.getKey(), entry.getValue().value())) {
              continue;
            }
            if (out.size() == 7) { // small pages, so that changes come between them
              more = true;
              break;
            }
            StoredEntry value = decodeForVersion(entry.getValue().value());
            out.add(new KeyValue(entry.getKey(), value, entry.getValue().version()));
          }
          return new ListResult(ResultCode.OK, out, more, simulation.stateService.revision);
        },
        new ListResult(ResultCode.REJECTED, List.of(), false, 0),
        new ListResult(ResultCode.REJECTED, List.of(), false, 0),
        then);
  }

  void watch(long after, long holdMs, Consumer<WatchResult> then) {
    node.afterEvent(() -> openWatch(after, holdMs, then));
  }

  private void openWatch(long after, long holdMs, Consumer<WatchResult> then) {
    int startedProcess = node.processNumber;
    long until = simulation.nowMs + holdMs;
    simulation.schedule(
        simulation.randomDelayMs(), () -> pollWatch(after, until, startedProcess, then));
  }

  private void pollWatch(long after, long until, int startedProcess, Consumer<WatchResult> then) {
    if (startedProcess != node.processNumber) {
      return;
    }
    if (node.compactNextWatch) {
      node.compactNextWatch = false;
      node.scheduleReply(1, () -> then.accept(new WatchResult(ResultCode.EXPIRED, List.of(), 0)));
      return;
    }
    if (!simulation.stateService.outage && !node.stateServiceUnreachable && !node.watchStalled) {
      simulation.stateService.expireLeases();
      List<KeyValue> out = new ArrayList<>();
      for (int i = simulation.stateService.changes.size() - 1;
          i >= 0 && simulation.stateService.changes.get(i).modRevision() > after;
          i--) {
        KeyValue change = simulation.stateService.changes.get(i);
        if (!isVisible(change.key(), change.value())) {
          continue;
        }
        out.add(
            0, new KeyValue(change.key(), decodeForVersion(change.value()), change.modRevision()));
      }
      if (!out.isEmpty() || simulation.nowMs >= until) {
        long revision = simulation.stateService.revision;
        long delayMs =
            simulation.randomDelayMs()
                + node.stateDelayMs
                + (simulation.maxStateDelayMs > 0 ? randomSlowDelayMs() : 0);
        if (simulation.nowMs + delayMs > until + Constants.STATE_TIMEOUT_MS
            && simulation.maxStateDelayMs > 0) {
          node.scheduleReply(
              delayMs,
              () -> then.accept(new WatchResult(ResultCode.OUTCOME_UNKNOWN, List.of(), 0)));
          return;
        }
        node.scheduleReply(
            delayMs, () -> then.accept(new WatchResult(ResultCode.OK, out, revision)));
        return;
      }
    } else if (simulation.nowMs > until + Constants.STATE_TIMEOUT_MS) {
      node.scheduleReply(1, () -> then.accept(new WatchResult(ResultCode.REJECTED, List.of(), 0)));
      return;
    }
    simulation.schedule(20, () -> pollWatch(after, until, startedProcess, then));
  }

  void grantLease(long ttlMs, Consumer<LeaseResult> then) {
    callStateService(
        () -> {
          long leaseId = ++simulation.stateService.lastLeaseId;
          simulation.stateService.leases.put(leaseId, simulation.nowMs + ttlMs);
          simulation.stateService.leaseTtlsMs.put(leaseId, ttlMs);
          return new LeaseResult(ResultCode.OK, leaseId);
        },
        new LeaseResult(ResultCode.REJECTED, 0),
        new LeaseResult(ResultCode.OUTCOME_UNKNOWN, 0),
        then);
  }

  void renewLease(long lease, Consumer<LeaseResult> then) {
    callStateService(
        () -> {
          simulation.stateService.expireLeases();
          if (!simulation.stateService.leases.containsKey(lease)) {
            return new LeaseResult(ResultCode.EXPIRED, lease);
          }
          simulation.stateService.leases.put(
              lease, simulation.nowMs + simulation.stateService.leaseTtlsMs.get(lease));
          return new LeaseResult(ResultCode.OK, lease);
        },
        new LeaseResult(ResultCode.REJECTED, lease),
        new LeaseResult(ResultCode.OUTCOME_UNKNOWN, lease),
        then);
  }

  /**
   * What its program makes of an entry; null: it can't read it. Versions without services read no
   * entry of an open service, and take a cancelled one for that of a batch job.
   */
  private StoredEntry decodeForVersion(StoredEntry value) {
    if (node.supportsServices() || !(value instanceof JobEntry job)) {
      return value;
    }
    if (job.outcome() == JobOutcome.SERVING) {
      return null;
    }
    return job.spec().isService() ? asBatch(job) : job;
  }

  /** The items that its program sees in listings and watches. */
  private boolean isVisible(String key, StoredEntry value) {
    if (node.supportsServices()) {
      return true;
    }
    if (key.startsWith(StateKeys.VERSION_PREFIX)) {
      return false;
    }
    return value == null || decodeForVersion(value) != null;
  }

  private static JobEntry asBatch(JobEntry job) {
    return new JobEntry(
        JobSpecBuilder.copyOf(job.spec(), JobKind.BATCH).build(),
        job.submittedMs(),
        job.leader(),
        job.incarnation(),
        job.epoch(),
        job.completionBits(),
        job.completedTaskCount(),
        job.quotaReservedTasks(),
        job.outcome());
  }

  /** The node has a new process: answers to the former one are lost. */
  void forgetPendingWrites() {
    machineWritesInFlight = 0;
  }
}
