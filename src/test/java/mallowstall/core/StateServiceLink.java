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

/**
 * The link of one controller to the state service. Requests can be slow, lost or rejected, and an
 * older program version of the controller can't read all entries.
 */
final class StateServiceLink {
  private final Simulation simulation;
  private final SimulatedController node;

  /** Number of unanswered transactions that write machine entries. */
  private int machineWritesInFlight;

  StateServiceLink(Simulation simulation, SimulatedController node) {
    this.simulation = simulation;
    this.node = node;
  }

  /** Sends a request when the event that issues it ends. */
  private <T> void callStateService(
      Supplier<T> operation, T rejected, T unknown, Consumer<T> then) {
    long decidedMs = simulation.nowMs;
    node.afterEvent(() -> transmit(decidedMs, operation, rejected, unknown, then));
  }

  @SuppressWarnings("ReturnValueIgnored") // a request is executed even if its response is lost
  private <T> void transmit(
      long decidedMs, Supplier<T> operation, T rejected, T unknown, Consumer<T> then) {
    if (hasTimedOut(decidedMs)) {
      operation.get();
      node.scheduleReply(0, () -> then.accept(unknown));
      return;
    }
    if (simulation.stateService.outage || node.stateServiceUnreachable) {
      node.scheduleReply(5, () -> then.accept(rejected));
      return;
    }
    double draw = simulation.random.nextDouble();
    if (draw < simulation.messageLossRate / 3) { // the request is lost
      node.scheduleReply(Constants.STATE_TIMEOUT_MS, () -> then.accept(unknown));
    } else if (draw < simulation.messageLossRate * 2 / 3) { // executed, but the response is lost
      simulation.schedule(simulation.randomDelayMs(), operation::get);
      node.scheduleReply(Constants.STATE_TIMEOUT_MS, () -> then.accept(unknown));
    } else if (draw < simulation.messageLossRate) { // executed late, and the response is lost
      simulation.schedule(500 + simulation.random.nextInt(4_000), operation::get);
      node.scheduleReply(Constants.STATE_TIMEOUT_MS, () -> then.accept(unknown));
    } else {
      long delayMs = simulation.randomDelayMs();
      int startedProcess = node.processNumber;
      if (simulation.maxStateDelayMs > 0) {
        callSlowly(operation, unknown, then);
        return;
      }
      simulation.schedule(
          delayMs,
          () -> {
            T result = operation.get();
            int currentProcess = node.processNumber;
            if (startedProcess == currentProcess) {
              node.scheduleReply(1 + node.stateDelayMs, () -> then.accept(result));
            }
          });
    }
  }

  /** Returns whether the controller has paused past the timeout since it issued the request. */
  private boolean hasTimedOut(long decidedMs) {
    return simulation.nowMs - decidedMs >= Constants.STATE_TIMEOUT_MS;
  }

  /** Executes the request within a random delay. Its outcome is unknown after the timeout. */
  private <T> void callSlowly(Supplier<T> operation, T unknown, Consumer<T> then) {
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
          T result = operation.get();
          if (!late && startedProcess == node.processNumber) {
            node.scheduleReply(totalDelayMs - before, () -> then.accept(result));
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
        !simulation.stateService.outage && !node.stateServiceUnreachable && !hasTimedOut(decidedMs);
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

  /** Returns whether the transaction takes a job over from another incarnation: its epoch rises. */
  private boolean isFailover(Transaction txn) {
    for (PutOperation put : txn.puts()) {
      if (!(put.value() instanceof JobEntry updated)) {
        continue;
      }
      SimulatedStateService.StoredValue present = simulation.stateService.entries.get(put.key());
      if (present == null || !(present.value() instanceof JobEntry before)) {
        continue;
      }
      if (updated.epoch() > before.epoch()) {
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
    if (node.catchUpFault == CatchUpFault.UNLISTED) {
      simulation.countFault("listing without response");
      node.scheduleReply(
          Constants.STATE_TIMEOUT_MS,
          () -> then.accept(new ListResult(ResultCode.REJECTED, List.of(), false, 0)));
      return;
    }
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
            if (out.size() == 7) { // small pages, so that changes happen between them
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
    boolean stalled = node.watchStalled || node.catchUpFault == CatchUpFault.STALLED;
    if (!simulation.stateService.outage && !node.stateServiceUnreachable && !stalled) {
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
      if (!out.isEmpty() && node.catchUpFault != CatchUpFault.NONE) {
        failWatch(out, then);
        return;
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

  /** Fails a watch that has changes to report. */
  private void failWatch(List<KeyValue> changes, Consumer<WatchResult> then) {
    simulation.countFault("watch " + node.catchUpFault);
    if (node.catchUpFault == CatchUpFault.CUT_OFF) {
      List<KeyValue> part = changes.subList(0, (changes.size() + 1) / 2);
      node.scheduleReply(1, () -> then.accept(new WatchResult(ResultCode.PARTIAL, part, 0)));
    }
    ResultCode code =
        switch (node.catchUpFault) {
          case CUT_OFF -> ResultCode.OUTCOME_UNKNOWN;
          case COMPACTED -> ResultCode.EXPIRED;
          default -> ResultCode.INVALID;
        };
    node.scheduleReply(2, () -> then.accept(new WatchResult(code, List.of(), 0)));
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
   * Returns the entry as the controller's program version reads it, or null if that version can't
   * read it. Versions without services can't read the entry of an open service, and read the entry
   * of a cancelled service as that of a batch job.
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

  /** Returns whether listings and watches show the entry to the controller's program version. */
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

  /** Resets the count of pending writes for a new process, which gets no earlier responses. */
  void resetPendingWrites() {
    machineWritesInFlight = 0;
  }
}
