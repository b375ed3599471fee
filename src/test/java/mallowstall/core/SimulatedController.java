package mallowstall.core;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import mallowstall.Constants;
import mallowstall.core.kernel.CommandResult;
import mallowstall.core.kernel.Effects;
import mallowstall.core.kernel.GetResult;
import mallowstall.core.kernel.InventoryPage;
import mallowstall.core.kernel.KeyValue;
import mallowstall.core.kernel.LeaseResult;
import mallowstall.core.kernel.ListResult;
import mallowstall.core.kernel.Metrics;
import mallowstall.core.kernel.PutOperation;
import mallowstall.core.kernel.ResultCode;
import mallowstall.core.kernel.ScaleOutResult;
import mallowstall.core.kernel.Transaction;
import mallowstall.core.kernel.TransactionResult;
import mallowstall.core.kernel.WatchResult;
import mallowstall.core.kv.StateKeys;
import mallowstall.core.model.CoreSettings;
import mallowstall.core.model.JobEntry;
import mallowstall.core.model.JobOutcome;
import mallowstall.core.model.ListedMachine;
import mallowstall.core.model.MachineEntry;
import mallowstall.core.model.MachineType;
import mallowstall.core.model.PeerMessage;
import mallowstall.core.model.ProgramVersion;
import mallowstall.core.model.ScaleOutRequest;
import mallowstall.core.model.StatusUpdate;
import mallowstall.core.model.StopBatch;
import mallowstall.core.model.StoredEntry;
import mallowstall.core.model.WorkerCommand;

/** A controller, and the world as it sees it. */
final class SimulatedController implements Effects {
  private final Simulation simulation;
  final String name;
  ControllerCore core;
  int processNumber;
  boolean running;

  /** The program version that it boots with next. */
  int installedVersion;

  /** The program version of its present process. */
  int runningVersion;

  /** What happens once, when it next asks the state service for a job of another's. */
  Runnable onNextFailover;

  boolean stateServiceUnreachable;

  /** Its next watch is told that what it asks for is too old. */
  boolean compactNextWatch;

  /** Its watches are told nothing. */
  boolean watchStalled;

  /** ms by which the answers to its changes of machines' records are late. */
  long machineWriteDelayMs;

  /** ms added to what the state service answers this node. */
  long stateDelayMs;

  /** Orders to stop tasks, to whomever. */
  int stopBatchesSent;

  /** Statements sent to peers, and the machines told in them. */
  int statusUpdatesSent;

  int machineStatusesSent;

  /** Changes of single machines' records that are unanswered, and the most there were. */
  private int machineWritesInFlight;

  int maxMachineWritesInFlight;

  /** It stands still from its next event on for so many ms, while its clocks run on. */
  long pauseMs;

  private long pausedUntilMs;

  /** What the event under way decides leaves only so much later. */
  long sendDelayMs;

  /** ms of its processor that each event takes; events wait for those before them. */
  long eventCostMs;

  private long busyUntilMs;
  private boolean tickQueued;

  /** The longest that an event has waited. */
  long maxEventWaitMs;

  final double clockDrift;
  final long clockSkewMs;
  final Map<String, Long> connectionIds = new HashMap<>();
  final Map<String, Long> lastArrivalMs = new HashMap<>();
  final Map<String, Boolean> partitionedPeers = new HashMap<>();
  long lastConnectionId;

  SimulatedController(Simulation sim, String name, int programVersion) {
    this.simulation = sim;
    this.name = name;
    this.installedVersion = programVersion;
    this.clockDrift = sim.random.nextDouble() * 0.0004;
    this.clockSkewMs = sim.random.nextInt(40) - 20;
    boot();
  }

  void boot() {
    processNumber++;
    running = true;
    runningVersion = installedVersion;
    pausedUntilMs = 0;
    busyUntilMs = 0;
    tickQueued = false;
    machineWritesInFlight = 0; // answers to a former process are lost
    lastConnectionId = 0;
    List<String> peers = new ArrayList<>(Simulation.NODES);
    peers.remove(name);
    core =
        new ControllerCore(
            new CoreSettings(
                name,
                peers,
                Simulation.ZONE_BY_NODE,
                simulation.teams,
                Simulation.HEARTBEAT_MS,
                Simulation.LEASE_MS,
                Simulation.CANCEL_MS,
                25,
                300,
                simulation.controllerLimits.changesPerSecond(),
                simulation.controllerLimits.txnOps(),
                simulation.controllerLimits.valueBytes(),
                5,
                2_000,
                Map.of(),
                runningVersion),
            simulation.recorder.effects(this, this),
            c -> new Simulation.TestPolicy(c, () -> simulation.policyEvaluations++),
            new Metrics() {
              @Override
              public void increment(String what) {}

              @Override
              public void recordDuration(String what, long ms) {}
            },
            simulation.random.nextLong());
    for (String peer : peers) {
      simulation.schedule(20, () -> connect(peer));
    }
    int startedProcess = processNumber;
    simulation.schedule(5, () -> tick(startedProcess));
  }

  /** The simulated time. */
  long now() {
    return simulation.nowMs;
  }

  String zone() {
    return Simulation.ZONE_BY_NODE.get(name);
  }

  void crash(long downMs) {
    running = false;
    processNumber++;
    connectionIds.clear();
    simulation.schedule(downMs, this::boot);
  }

  boolean supportsServices() {
    return runningVersion >= ProgramVersion.WITH_SERVICES;
  }

  /**
   * What its program makes of an entry; null: it can't read it. Versions without services read no
   * entry of an open service, and take a cancelled one for that of a batch job.
   */
  private StoredEntry decodeForVersion(StoredEntry value) {
    if (supportsServices() || !(value instanceof JobEntry job)) {
      return value;
    }
    if (job.outcome() == JobOutcome.SERVING) {
      return null;
    }
    return job.spec().isService() ? Simulation.asBatch(job) : job;
  }

  /** The items that its program sees in listings and watches. */
  private boolean isVisible(String key, StoredEntry value) {
    if (supportsServices()) {
      return true;
    }
    if (key.startsWith(StateKeys.VERSION_PREFIX)) {
      return false;
    }
    return value == null || decodeForVersion(value) != null;
  }

  void tick(int startedProcess) {
    if (startedProcess != processNumber) {
      return;
    }
    simulation.ticks++;
    if (simulation.nowMs >= pausedUntilMs && !tickQueued) {
      tickQueued = true;
      enqueueEvent(
          () -> {
            tickQueued = false;
            core.tick();
          });
    }
    simulation.schedule(Constants.TICK_MS, () -> tick(startedProcess));
  }

  void enqueueEvent(Runnable action) {
    if (!running) {
      return;
    }
    long start = Math.max(simulation.nowMs, busyUntilMs);
    if (eventCostMs > 0) {
      busyUntilMs = start + eventCostMs;
      maxEventWaitMs = Math.max(maxEventWaitMs, start - simulation.nowMs);
    }
    if (start == simulation.nowMs) {
      runEvent(action);
      return;
    }
    int startedProcess = processNumber;
    simulation.schedule(
        start - simulation.nowMs,
        () -> {
          if (running && startedProcess == processNumber) {
            runEvent(action);
          }
        });
  }

  private void runEvent(Runnable action) {
    int startedProcess = processNumber;
    if (simulation.nowMs < pausedUntilMs) {
      // lies unread until it wakes
      simulation.schedule(
          pausedUntilMs - simulation.nowMs,
          () -> {
            if (startedProcess == processNumber) {
              enqueueEvent(action);
            }
          });
      return;
    }
    if (pauseMs > 0) {
      // between the reading of the clock and the sending of what was decided
      sendDelayMs = pauseMs;
      pausedUntilMs = simulation.nowMs + pauseMs;
      pauseMs = 0;
    }
    core.setTime(
        (long) (simulation.nowMs * (1 + clockDrift)),
        1_700_000_000_000L + simulation.nowMs + clockSkewMs);
    action.run();
    core.runDueWork();
    sendDelayMs = 0;
    if (core.nextTimerMs() != Long.MAX_VALUE) {
      simulation.schedule(
          Math.max(1, core.nextTimerMs() - (long) (simulation.nowMs * (1 + clockDrift))),
          () -> {
            if (startedProcess == processNumber && simulation.nowMs >= pausedUntilMs) {
              core.setTime(
                  (long) (simulation.nowMs * (1 + clockDrift)),
                  1_700_000_000_000L + simulation.nowMs + clockSkewMs);
              core.runDueWork();
            }
          });
    }
  }

  private void scheduleReply(long delay, Runnable action) {
    int startedProcess = processNumber;
    simulation.schedule(
        delay,
        () -> {
          if (startedProcess == processNumber) {
            enqueueEvent(action);
          }
        });
  }

  void connect(String peer) {
    if (!running || connectionIds.containsKey(peer)) {
      return;
    }
    if (Boolean.TRUE.equals(partitionedPeers.get(peer))
        || !simulation.controllers.containsKey(peer)
        || !simulation.controllers.get(peer).running) {
      int startedProcess = processNumber;
      simulation.schedule(
          700,
          () -> {
            if (startedProcess == processNumber) {
              connect(peer);
            }
          });
      return;
    }
    long connectionId = ++lastConnectionId;
    connectionIds.put(peer, connectionId);
    enqueueEvent(() -> core.peerConnected(peer, connectionId));
  }

  void disconnect(String peer) {
    connectionIds.remove(peer);
    int startedProcess = processNumber;
    simulation.schedule(
        700,
        () -> {
          if (startedProcess == processNumber) {
            connect(peer);
          }
        });
  }

  @Override
  public void send(String node, PeerMessage message) {
    if (message instanceof StopBatch) {
      stopBatchesSent++;
    } else if (message instanceof StatusUpdate statusUpdate) {
      statusUpdatesSent++;
      machineStatusesSent += statusUpdate.machines().size();
    }
    if (!connectionIds.containsKey(node)) {
      return;
    }
    SimulatedController other = simulation.controllers.get(node);
    int startedProcess = other.processNumber;
    if (message instanceof StatusUpdate
        && simulation.random.nextDouble() < simulation.statusUpdateFaultRate) {
      boolean lost = simulation.random.nextBoolean();
      simulation.schedule(
          simulation.random.nextInt(6_000),
          () -> {
            if (other.running && other.processNumber == startedProcess) {
              other.enqueueEvent(() -> other.core.handleMessage(message));
            }
          });
      if (lost) {
        return;
      }
    }
    // in order; behind a cut it is held and delivered late
    long when =
        Math.max(
            simulation.nowMs + sendDelayMs + simulation.randomDelayMs() / 2,
            lastArrivalMs.getOrDefault(node, 0L));
    if (Boolean.TRUE.equals(partitionedPeers.get(node))) {
      when =
          Math.max(
              when,
              simulation.nowMs
                  + (simulation.partitionDelayMs > 0
                      ? simulation.partitionDelayMs
                      : 2_000 + simulation.random.nextInt(8_000)));
    }
    lastArrivalMs.put(node, when);
    simulation.schedule(
        when - simulation.nowMs,
        () -> {
          if (other.running && other.processNumber == startedProcess) {
            other.enqueueEvent(() -> other.core.handleMessage(message));
          } else if (connectionIds.containsKey(node)) {
            disconnect(node);
          }
        });
  }

  private <T> void callStateService(
      java.util.function.Supplier<T> exec, T refused, T unknown, Consumer<T> then) {
    if (sendDelayMs > 0) {
      // executed when it wakes, with the answer long given up on
      simulation.schedule(sendDelayMs, exec::get);
      scheduleReply(sendDelayMs, () -> then.accept(unknown));
      return;
    }
    if (simulation.stateService.outage || stateServiceUnreachable) {
      scheduleReply(5, () -> then.accept(refused));
      return;
    }
    double dice = simulation.random.nextDouble();
    if (dice < simulation.messageLossRate / 3) { // never arrives
      scheduleReply(Constants.STATE_TIMEOUT_MS, () -> then.accept(unknown));
    } else if (dice < simulation.messageLossRate * 2 / 3) { // executed, the answer is lost
      simulation.schedule(simulation.randomDelayMs(), exec::get);
      scheduleReply(Constants.STATE_TIMEOUT_MS, () -> then.accept(unknown));
    } else if (dice < simulation.messageLossRate) { // executed late
      simulation.schedule(500 + simulation.random.nextInt(4_000), exec::get);
      scheduleReply(Constants.STATE_TIMEOUT_MS, () -> then.accept(unknown));
    } else {
      long delayMs = simulation.randomDelayMs();
      int startedProcess = processNumber;
      if (simulation.maxStateDelayMs > 0) {
        callSlowly(exec, unknown, then);
        return;
      }
      simulation.schedule(
          delayMs,
          () -> {
            T task = exec.get();
            int still = processNumber;
            if (startedProcess == still) {
              scheduleReply(1 + stateDelayMs, () -> then.accept(task));
            }
          });
    }
  }

  /** Executed at some moment of the delay; what takes too long is given up on. */
  private <T> void callSlowly(java.util.function.Supplier<T> exec, T unknown, Consumer<T> then) {
    simulation.countFault("slowState");
    int totalDelayMs = randomSlowDelayMs();
    int startedProcess = processNumber;
    boolean late = totalDelayMs > Constants.STATE_TIMEOUT_MS;
    if (late) {
      scheduleReply(Constants.STATE_TIMEOUT_MS, () -> then.accept(unknown));
    }
    int before = simulation.random.nextInt(totalDelayMs);
    simulation.schedule(
        before,
        () -> {
          T task = exec.get();
          if (!late && startedProcess == processNumber) {
            scheduleReply(totalDelayMs - before, () -> then.accept(task));
          }
        });
  }

  private int randomSlowDelayMs() {
    return 300 + simulation.random.nextInt(Math.max(1, simulation.maxStateDelayMs - 300));
  }

  @Override
  public void transact(Transaction txn, Consumer<TransactionResult> reply) {
    boolean machineWrite = txn.puts().stream().anyMatch(put -> put.value() instanceof MachineEntry);
    Consumer<TransactionResult> counted = machineWrite ? countMachineWrite(reply) : reply;
    if (machineWrite && machineWriteDelayMs > 0) {
      submitTransaction(
          txn, result -> scheduleReply(machineWriteDelayMs, () -> counted.accept(result)));
    } else {
      submitTransaction(txn, counted);
    }
  }

  private Consumer<TransactionResult> countMachineWrite(Consumer<TransactionResult> reply) {
    machineWritesInFlight++;
    maxMachineWritesInFlight = Math.max(maxMachineWritesInFlight, machineWritesInFlight);
    return result -> {
      machineWritesInFlight--;
      reply.accept(result);
    };
  }

  private void submitTransaction(Transaction txn, Consumer<TransactionResult> then) {
    if (onNextFailover != null && isFailover(txn)) {
      Runnable meeting = onNextFailover;
      onNextFailover = null;
      simulation.countFault("claim");
      simulation.schedule(0, meeting);
    }
    boolean served =
        !simulation.stateService.outage && !stateServiceUnreachable && sendDelayMs == 0;
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
      scheduleReply(
          Constants.STATE_TIMEOUT_MS,
          () -> then.accept(new TransactionResult(ResultCode.OUTCOME_UNKNOWN, 0)));
      return;
    }
    callStateService(
        () -> simulation.stateService.transact(txn),
        new TransactionResult(ResultCode.REJECTED, 0),
        new TransactionResult(ResultCode.OUTCOME_UNKNOWN, 0),
        then);
  }

  /** Whether the transaction takes over a job that another process holds. */
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

  @Override
  public int encodedSizeBytes(StoredEntry value) {
    return Simulation.encodedSize(value);
  }

  @Override
  public void get(String key, Consumer<GetResult> then) {
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

  @Override
  public void list(String after, Consumer<ListResult> then) {
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

  @Override
  public void watch(long after, long holdMs, Consumer<WatchResult> then) {
    int startedProcess = processNumber;
    long until = simulation.nowMs + holdMs;
    simulation.schedule(
        simulation.randomDelayMs(), () -> pollWatch(after, until, startedProcess, then));
  }

  private void pollWatch(long after, long until, int startedProcess, Consumer<WatchResult> then) {
    if (startedProcess != processNumber) {
      return;
    }
    if (compactNextWatch) {
      compactNextWatch = false;
      scheduleReply(1, () -> then.accept(new WatchResult(ResultCode.EXPIRED, List.of(), 0)));
      return;
    }
    if (!simulation.stateService.outage && !stateServiceUnreachable && !watchStalled) {
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
                + stateDelayMs
                + (simulation.maxStateDelayMs > 0 ? randomSlowDelayMs() : 0);
        if (simulation.nowMs + delayMs > until + Constants.STATE_TIMEOUT_MS
            && simulation.maxStateDelayMs > 0) {
          scheduleReply(
              delayMs,
              () -> then.accept(new WatchResult(ResultCode.OUTCOME_UNKNOWN, List.of(), 0)));
          return;
        }
        scheduleReply(delayMs, () -> then.accept(new WatchResult(ResultCode.OK, out, revision)));
        return;
      }
    } else if (simulation.nowMs > until + Constants.STATE_TIMEOUT_MS) {
      scheduleReply(1, () -> then.accept(new WatchResult(ResultCode.REJECTED, List.of(), 0)));
      return;
    }
    simulation.schedule(20, () -> pollWatch(after, until, startedProcess, then));
  }

  @Override
  public void grantLease(long ttlMs, Consumer<LeaseResult> then) {
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

  @Override
  public void renewLease(long lease, Consumer<LeaseResult> then) {
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

  @Override
  public void sendCommands(
      String addr,
      long token,
      long session,
      List<WorkerCommand> commands,
      Consumer<CommandResult> then) {
    SimulatedWorker worker = simulation.workers.get(addr);
    if (sendDelayMs > 0 && worker != null) {
      simulation.schedule(
          sendDelayMs,
          () -> worker.runWhenResumed(() -> worker.executeCommands(token, session, commands)));
      scheduleReply(
          sendDelayMs, () -> then.accept(new CommandResult(ResultCode.OUTCOME_UNKNOWN, null)));
      return;
    }
    if (worker == null || worker.isPartitionedFrom(this) || worker.inboundBlocked) {
      if (worker != null && worker.isPartitionedFrom(this) && simulation.random.nextBoolean()) {
        // held by the cut, executed late
        simulation.schedule(
            1_000 + simulation.random.nextInt(15_000),
            () -> worker.runWhenResumed(() -> worker.executeCommands(token, session, commands)));
        scheduleReply(
            Constants.COMMAND_REQUEST_TIMEOUT_MS,
            () -> then.accept(new CommandResult(ResultCode.OUTCOME_UNKNOWN, null)));
      } else {
        scheduleReply(
            Constants.COMMAND_REQUEST_TIMEOUT_MS,
            () ->
                then.accept(
                    new CommandResult(
                        worker == null ? ResultCode.REJECTED : ResultCode.OUTCOME_UNKNOWN, null)));
      }
      return;
    }
    double dice = simulation.random.nextDouble();
    if (simulation.delayAllCommands) {
      simulation.delayedCommands++;
      dice = 0;
    }
    if (dice < simulation.messageLossRate || simulation.delayAllCommands) {
      simulation.schedule(
          !simulation.delayAllCommands && dice < simulation.messageLossRate / 2
              ? simulation.randomDelayMs()
              : 500 + simulation.random.nextInt(20_000),
          () -> worker.runWhenResumed(() -> worker.executeCommands(token, session, commands)));
      scheduleReply(
          Constants.COMMAND_REQUEST_TIMEOUT_MS,
          () -> then.accept(new CommandResult(ResultCode.OUTCOME_UNKNOWN, null)));
      return;
    }
    int startedProcess = processNumber;
    simulation.schedule(
        simulation.randomDelayMs(),
        () -> {
          if (worker.isPaused()) {
            queueCommands(worker, token, session, commands, startedProcess, then);
            return;
          }
          if (worker.outboundBlocked) {
            simulation.countFault("mute, ordered");
          }
          CommandResult reply = worker.executeCommands(token, session, commands);
          if (startedProcess == processNumber) {
            scheduleReply(simulation.randomDelayMs(), () -> then.accept(reply));
          }
        });
  }

  /** Executed when the machine goes on, perhaps long after it was given up on. */
  private void queueCommands(
      SimulatedWorker worker,
      long token,
      long session,
      List<WorkerCommand> commands,
      int startedProcess,
      Consumer<CommandResult> then) {
    simulation.countFault("hang, ordered");
    boolean[] finished = {false};
    if (startedProcess == processNumber) {
      scheduleReply(
          Constants.COMMAND_REQUEST_TIMEOUT_MS,
          () -> {
            if (finished[0]) {
              return;
            }
            finished[0] = true;
            then.accept(new CommandResult(ResultCode.OUTCOME_UNKNOWN, null));
          });
    }
    worker.runWhenResumed(
        () -> {
          CommandResult reply = worker.executeCommands(token, session, commands);
          if (reply.code() == ResultCode.OK) {
            simulation.countFault("hang, held orders executed");
          }
          if (startedProcess != processNumber) {
            return;
          }
          scheduleReply(
              simulation.randomDelayMs(),
              () -> {
                if (finished[0]) {
                  return;
                }
                finished[0] = true;
                then.accept(reply);
              });
        });
  }

  @Override
  public void fetchMachineTypes(Consumer<List<MachineType>> then) {
    scheduleReply(20, () -> then.accept(List.of(simulation.machineType)));
  }

  @Override
  public void scaleOut(ScaleOutRequest request, Consumer<ScaleOutResult> then) {
    scheduleReply(
        30,
        () -> {
          List<String> machines = simulation.scaleOutResults.get(request.name());
          if (machines == null) {
            machines = new ArrayList<>();
            while (machines.size() < request.count()
                && simulation.workers.size() < simulation.maxMachines) {
              machines.add(
                  simulation.addMachine(
                      request.type(),
                      request.zone(),
                      request.spot(),
                      2_000 + simulation.random.nextInt(6_000)));
            }
            if (!machines.isEmpty()) {
              simulation.scaleOutResults.put(request.name(), machines);
            }
          }
          then.accept(new ScaleOutResult(machines.isEmpty() ? 503 : 200, machines));
        });
  }

  @Override
  public void scaleIn(List<String> machines, Consumer<Boolean> then) {
    if (machines.size() > Constants.SCALE_IN_MACHINES_MAX) { // as the protocol has it
      scheduleReply(30, () -> then.accept(false));
      return;
    }
    for (String machine : machines) {
      simulation.killMachine(machine);
    }
    scheduleReply(30, () -> then.accept(true));
  }

  @Override
  public void listMachines(String after, Consumer<InventoryPage> then) {
    List<ListedMachine> out = new ArrayList<>();
    for (SimulatedWorker worker : simulation.workers.values()) {
      out.add(
          new ListedMachine(
              worker.id,
              "t8",
              worker.zone,
              worker.spot,
              "running",
              (simulation.nowMs - worker.bornAtMs) / 1000.0));
    }
    simulation.schedule(2_000, () -> {});
    scheduleReply(2_000, () -> then.accept(new InventoryPage(true, out, false)));
  }
}
