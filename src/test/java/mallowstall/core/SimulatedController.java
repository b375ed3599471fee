package mallowstall.core;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import mallowstall.Constants;
import mallowstall.core.kernel.CommandResult;
import mallowstall.core.kernel.Effects;
import mallowstall.core.kernel.GetResult;
import mallowstall.core.kernel.InventoryPage;
import mallowstall.core.kernel.LeaseResult;
import mallowstall.core.kernel.ListResult;
import mallowstall.core.kernel.Metrics;
import mallowstall.core.kernel.ScaleOutResult;
import mallowstall.core.kernel.Transaction;
import mallowstall.core.kernel.TransactionResult;
import mallowstall.core.kernel.WatchResult;
import mallowstall.core.model.ApiResponse;
import mallowstall.core.model.CoreSettingsBuilder;
import mallowstall.core.model.MachineType;
import mallowstall.core.model.PeerMessage;
import mallowstall.core.model.ProgramVersion;
import mallowstall.core.model.ScaleOutRequest;
import mallowstall.core.model.StoredEntry;
import mallowstall.core.model.WorkerCommand;

/**
 * A controller, and the world as it sees it. It processes one event at a time, in the order of
 * their arrival. All that the core decides in an event leaves when the processing of that event is
 * over, or never if the process ends before.
 */
final class SimulatedController implements Effects {
  /** Later than every timer. */
  private static final long NEVER = Long.MAX_VALUE;

  /** An answer that leaves so late after its decision is counted as a fault. */
  private static final long LATE_ANSWER_MS = 50;

  private final Simulation simulation;

  private final StateServiceLink stateServiceLink;

  private final SimulatedEventLoop eventLoop;
  private final WorkerLink workerLink;
  private final PeerLink peerLink;

  private final SimulatedCloud cloud;

  final String name;

  ControllerCore core;

  int processNumber;

  boolean running;

  /** The program version that it boots with next. */
  int installedVersion;

  /** The program version of its present process. */
  int runningVersion;

  /** Regular work done by the present process, and how much of it at the last check. */
  int ticksRun;

  int ticksAtLastCheck;

  /** Returned machines that were in its view at that check. */
  Set<String> returnedAtLastCheck = Set.of();

  /** Run once, when it next requests a failover of a job. */
  Runnable onNextFailover;

  boolean stateServiceUnreachable;

  /** Its next watch is answered that the revision is compacted. */
  boolean compactNextWatch;

  /** Its watches get no events. */
  boolean watchStalled;

  /** ms by which the answers to its writes of machine entries are late. */
  long machineWriteDelayMs;

  /** ms added to what the state service answers this node. */
  long stateDelayMs;

  /** Stop batches sent to peers. */
  int stopBatchesSent;

  /** Questions to peers whether they have accepted jobs. */
  int acceptanceQueriesSent;

  /** Status updates sent to peers, and the machine statuses in them. */
  int statusUpdatesSent;

  int machineStatusesSent;

  int maxMachineWritesInFlight;

  /** It pauses in its next event for so many ms, while its clocks run on. */
  long pauseMs;

  /** It pauses for so many ms in the event in which it next answers a user's request. */
  long pauseAtNextAnswerMs;

  /** ms of its processor that each event takes; events wait for those before them. */
  long eventCostMs;

  /** Steady ms. When its wake-up for the next timer is due; {@link #NEVER}: none is scheduled. */
  private long wakeUpAtMs = NEVER;

  private boolean tickQueued;

  final double clockDrift;

  final long clockSkewMs;

  final Map<String, Boolean> partitionedPeers = new HashMap<>();

  SimulatedController(Simulation sim, String name, int programVersion) {
    this.simulation = sim;
    this.eventLoop = new SimulatedEventLoop(sim, this);
    this.stateServiceLink = new StateServiceLink(sim, this);
    this.workerLink = new WorkerLink(sim, this);
    this.peerLink = new PeerLink(sim, this);
    this.cloud = new SimulatedCloud(sim, this);
    this.name = name;
    this.installedVersion = programVersion;
    this.clockDrift = sim.random.nextDouble() * 0.0004;
    this.clockSkewMs = sim.random.nextInt(40) - 20L;
    boot();
  }

  void boot() {
    processNumber++;
    running = true;
    runningVersion = installedVersion;
    forgetEvents();
    ticksRun = 0;
    ticksAtLastCheck = 0;
    returnedAtLastCheck = Set.of();
    stateServiceLink.forgetPendingWrites();
    peerLink.restart();
    List<String> peers = new ArrayList<>(Simulation.NODES);
    peers.remove(name);
    core =
        new ControllerCore(
            CoreSettingsBuilder.settingsOf(name)
                .peers(peers)
                .nodeZones(Simulation.ZONE_BY_NODE)
                .teams(simulation.teams)
                .timesMs(Simulation.HEARTBEAT_MS, Simulation.LEASE_MS, Simulation.CANCEL_MS)
                .stateRates(300, simulation.controllerLimits.changesPerSecond())
                .stateLimits(
                    simulation.controllerLimits.txnOps(), simulation.controllerLimits.valueBytes())
                .cloud(5, 2_000)
                .programVersion(runningVersion)
                .build(),
            simulation.recorder.effects(this, this),
            c -> new TestPolicy(c, () -> simulation.policyEvaluations++),
            new Metrics() {
              @Override
              public void increment(String what) {}

              @Override
              public void recordDuration(String what, long ms) {}
            },
            simulation.random.nextLong());
    for (String peer : peers) {
      simulation.schedule(20, () -> peerLink.connect(peer));
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
    forgetEvents();
    peerLink.closeAll();
    simulation.schedule(downMs, this::boot);
  }

  private void forgetEvents() {
    eventLoop.restart();
    pauseAtNextAnswerMs = 0;
    wakeUpAtMs = NEVER;
    tickQueued = false;
  }

  boolean supportsServices() {
    return runningVersion >= ProgramVersion.WITH_SERVICES;
  }

  void tick(int startedProcess) {
    if (startedProcess != processNumber) {
      return;
    }
    simulation.ticks++;
    if (!eventLoop.isPaused() && !tickQueued) {
      tickQueued = true;
      enqueueEvent(
          () -> {
            tickQueued = false;
            core.tick();
            ticksRun++;
          });
    }
    simulation.schedule(Constants.TICK_MS, () -> tick(startedProcess));
  }

  /** The event is processed after all that arrived before it. */
  void enqueueEvent(Runnable action) {
    if (!running) {
      return;
    }
    eventLoop.enqueue(action, eventCostMs);
  }

  /** Sets the clock, then does the work of the event and what that has made due. */
  void runEvent(Runnable action) {
    eventLoop.pauseInEvent(pauseMs);
    pauseMs = 0;
    core.setTime(steadyMs(), 1_700_000_000_000L + simulation.nowMs + clockSkewMs);
    action.run();
    core.runDueWork();
  }

  /** Runs the action when the event under way is over, at once if there is none. */
  void afterEvent(Runnable action) {
    eventLoop.afterEvent(action);
  }

  /** The longest that an event has waited while events cost processor time. */
  long maxEventWaitMs() {
    return eventLoop.maxWaitMs();
  }

  /** Whom the core answers instead of this user, whom the answer reaches when the event is over. */
  Consumer<ApiResponse> answerAfterEvent(Consumer<ApiResponse> user) {
    return answer -> {
      eventLoop.pauseInEvent(pauseAtNextAnswerMs);
      pauseAtNextAnswerMs = 0;
      long decidedMs = simulation.nowMs;
      eventLoop.afterEvent(
          () -> {
            if (simulation.nowMs - decidedMs > LATE_ANSWER_MS) {
              simulation.countFault("answer left late");
            }
            user.accept(checkedAtWrite(answer));
          });
    };
  }

  /** The last look at its own clock before the write, as by the connections of a controller. */
  ApiResponse checkedAtWrite(ApiResponse decided) {
    return decided.mayLeaveAt(steadyMs()) ? decided : ApiResponse.expired();
  }

  /** A wake-up that is due later than the next timer is replaced. */
  void scheduleWakeUp() {
    long nextMs = core.nextTimerMs();
    if (nextMs >= wakeUpAtMs) {
      return;
    }
    wakeUpAtMs = nextMs;
    scheduleInProcess(
        Math.max(1, nextMs - steadyMs()),
        () -> {
          if (wakeUpAtMs == nextMs) {
            wakeUpAtMs = NEVER;
            enqueueEvent(() -> {});
          }
        });
  }

  /** The time by its own clock. */
  private long steadyMs() {
    return (long) (simulation.nowMs * (1 + clockDrift));
  }

  /** Runs the action after the delay unless the present process has ended by then. */
  private void scheduleInProcess(long delayMs, Runnable action) {
    int startedProcess = processNumber;
    simulation.schedule(
        delayMs,
        () -> {
          if (startedProcess == processNumber) {
            action.run();
          }
        });
  }

  void scheduleReply(long delay, Runnable action) {
    scheduleInProcess(delay, () -> enqueueEvent(action));
  }

  @Override
  public int encodedSizeBytes(StoredEntry value) {
    return Simulation.encodedSize(value);
  }

  @Override
  public void transact(Transaction txn, Consumer<TransactionResult> reply) {
    stateServiceLink.transact(txn, reply);
  }

  @Override
  public void get(String key, Consumer<GetResult> then) {
    stateServiceLink.get(key, then);
  }

  @Override
  public void list(String after, Consumer<ListResult> then) {
    stateServiceLink.list(after, then);
  }

  @Override
  public void watch(long after, long holdMs, Consumer<WatchResult> then) {
    stateServiceLink.watch(after, holdMs, then);
  }

  @Override
  public void grantLease(long ttlMs, Consumer<LeaseResult> then) {
    stateServiceLink.grantLease(ttlMs, then);
  }

  @Override
  public void renewLease(long lease, Consumer<LeaseResult> then) {
    stateServiceLink.renewLease(lease, then);
  }

  @Override
  public void sendCommands(
      String addr,
      long token,
      long session,
      List<WorkerCommand> commands,
      Consumer<CommandResult> then) {
    workerLink.sendCommands(addr, token, session, commands, then);
  }

  @Override
  public void fetchMachineTypes(Consumer<List<MachineType>> then) {
    cloud.fetchMachineTypes(then);
  }

  @Override
  public void scaleOut(ScaleOutRequest request, Consumer<ScaleOutResult> then) {
    cloud.scaleOut(request, then);
  }

  @Override
  public void scaleIn(List<String> machines, Consumer<Boolean> then) {
    cloud.scaleIn(machines, then);
  }

  @Override
  public void listMachines(String after, Consumer<InventoryPage> then) {
    cloud.listMachines(after, then);
  }

  @Override
  public void send(String peer, PeerMessage message) {
    peerLink.send(peer, message);
  }

  /** The connection to the peer fails, and is tried again. */
  void disconnect(String peer) {
    peerLink.disconnect(peer);
  }
}
