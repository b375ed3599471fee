package mallowstall.core.machines;

import static mallowstall.core.model.JobSpecBuilder.batchJob;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.reflect.Proxy;
import java.util.List;
import mallowstall.core.cluster.CancellationExchange;
import mallowstall.core.cluster.ClusterView;
import mallowstall.core.cluster.ImageSizes;
import mallowstall.core.kernel.Effects;
import mallowstall.core.kernel.EventClock;
import mallowstall.core.kernel.EventLoopLag;
import mallowstall.core.kernel.KeyValue;
import mallowstall.core.kernel.Metrics;
import mallowstall.core.kv.JobBitmaps;
import mallowstall.core.kv.StateChangeDispatcher;
import mallowstall.core.kv.StateKeys;
import mallowstall.core.kv.StateStore;
import mallowstall.core.model.CoreSettings;
import mallowstall.core.model.CoreSettingsBuilder;
import mallowstall.core.model.ExitReason;
import mallowstall.core.model.Heartbeat;
import mallowstall.core.model.JobEntry;
import mallowstall.core.model.JobOutcome;
import mallowstall.core.model.MachineType;
import mallowstall.core.model.StartRequest;
import mallowstall.core.model.StopRequest;
import mallowstall.core.model.TaskReport;
import mallowstall.core.model.TaskState;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a machine's idleness that is told seconds late: each way by which the last
 * reservation or task goes shows in the next status update.
 */
class MachineIdlenessTest {
  private static final String MACHINE = "m-000001";
  private static final String JOB = "wk-000001";
  private static final long TOKEN = 5;
  private static final long ATTEMPT = 7;
  private static final long WALL_MS = 1_700_000_000_000L;
  private static final long START_LIFE_MS = 8_000;
  private static final long HEARTBEAT_MS = 1_000;
  private static final MachineType TYPE =
      new MachineType("t8", 8, 0, 32, 20, 1, 1.0, 0.3, 8, List.of("a", "b"));

  private final EventClock clock = new EventClock();
  private final CoreSettings settings =
      CoreSettingsBuilder.settingsOf("n0")
          .peers(List.of("n1"))
          .timesMs(HEARTBEAT_MS, 10_000, 35_000)
          .build();
  private StateStore store;
  private ManagedMachines machines;
  private MachineStatuses statuses;
  private HeartbeatApplier applier;
  private HeartbeatHandler handler;
  private ManagedMachine machine;
  private long nowMs = 1_000;
  private long heartbeats;
  private long updates;
  private final JobEntry job =
      JobEntry.newlyAccepted(batchJob(JOB).tasks(1).cpus(1).build(), WALL_MS, "n0", 1);

  @BeforeEach
  void leadIdleMachine() {
    Effects effects = unanswered();
    store = new StateStore(clock, settings, effects);
    CancellationExchange cancellations = new CancellationExchange(store, id -> {});
    store.subscribe(
        new StateChangeDispatcher(
            List.of(cancellations::jobChanged),
            id -> {},
            (id, entry) -> {},
            List.of(),
            (id, entry) -> {},
            id -> {},
            () -> {},
            revision -> {}));
    ClusterView view = new ClusterView(clock, store);
    machines = new ManagedMachines(clock, settings, store, view);
    statuses = new MachineStatuses(clock, machines);
    StatusUpdateSequence sequence =
        new StatusUpdateSequence(settings, store, cancellations, machines, statuses);
    StatusPublisher publisher =
        new StatusPublisher(
            clock, new EventLoopLag(), settings, effects, uncounted(), view, sequence, u -> {});
    FencingTokens tokens =
        new FencingTokens(machines, new MachineEntryWriter(settings, effects, store), publisher);
    applier =
        new HeartbeatApplier(
            clock, settings, store, new ImageSizes(), id -> false, publisher, tokens);
    JobBitmaps bitmaps = new JobBitmaps(settings, value -> 100, () -> true, store::entry);
    handler =
        new HeartbeatHandler(
            applier,
            new HeartbeatResponder(clock, store, bitmaps, cancellations, machines, publisher));
    storeJob(job, 3);
    pass(0);
    machine = machines.add(MACHINE, TYPE, "a", false, TOKEN);
    handler.handle(machine, heartbeat());
    publish();
  }

  /** The outside answers nothing. */
  private static Effects unanswered() {
    return (Effects)
        Proxy.newProxyInstance(
            Effects.class.getClassLoader(),
            new Class<?>[] {Effects.class},
            (proxy, method, arguments) -> null);
  }

  private static Metrics uncounted() {
    return new Metrics() {
      @Override
      public void increment(String what) {}

      @Override
      public void recordDuration(String what, long ms) {}
    };
  }

  private void storeJob(JobEntry entry, long revision) {
    store.applyChange(new KeyValue(StateKeys.job(JOB), entry, revision));
  }

  private void pass(long ms) {
    nowMs += ms;
    clock.advance(nowMs, WALL_MS + nowMs);
  }

  private Heartbeat heartbeat(TaskReport... tasks) {
    return new Heartbeat(
        MACHINE, "addr", "t8", "a", false, 1, ++heartbeats, TOKEN, null, List.of(tasks));
  }

  private static TaskReport running() {
    return new TaskReport(JOB, 0, ATTEMPT, TaskState.RUNNING, null, false);
  }

  private void publish() {
    statuses.publishChanges(++updates, nowMs);
  }

  /** A start is accepted and told, and waits for the next heartbeat. */
  private void reserve() {
    StartRequest start =
        new StartRequest(
            MACHINE, JOB, 0, ATTEMPT, 1, clock.wallClockMs() + START_LIFE_MS, List.of());
    machine.tasks().reserve(new Reservation(start, job.spec()), clock.now());
    publish();
    assertEquals(0, machine.published().status().idleMs(), "told as busy");
    pass(HEARTBEAT_MS);
  }

  /** A task is listed as running and told. */
  private void run() {
    handler.handle(machine, heartbeat(running()));
    publish();
    assertEquals(0, machine.published().status().idleMs(), "told as busy");
    pass(HEARTBEAT_MS);
  }

  private void assertIdlenessTold(long idleMs) {
    assertEquals(List.of(), statuses.unpublishedChanges());
    publish();
    assertEquals(idleMs, machine.published().status().idleMs());
  }

  @Test
  void reservationThatIsNoLongerNeeded() {
    reserve();
    storeJob(job.withOutcome(JobOutcome.CANCELLED), 4);
    handler.handle(machine, heartbeat());
    assertTrue(machine.tasks().isEmpty());
    pass(500);
    assertIdlenessTold(500);
  }

  @Test
  void reservationThatIsToBeStopped() {
    reserve();
    machine.tasks().requestStop(new StopRequest(MACHINE, JOB, 0, ATTEMPT, 0));
    handler.handle(machine, heartbeat());
    assertTrue(machine.tasks().isEmpty());
    pass(500);
    assertIdlenessTold(500);
  }

  @Test
  void reservationThatIsTooLate() {
    reserve();
    pass(START_LIFE_MS);
    handler.handle(machine, heartbeat());
    assertTrue(machine.tasks().isEmpty());
    pass(500);
    assertIdlenessTold(500);
  }

  @Test
  void reservationThatTheWorkerRejects() {
    reserve();
    TaskReport rejected =
        new TaskReport(JOB, 0, ATTEMPT, TaskState.EXITED, ExitReason.INSUFFICIENT_CAPACITY, false);
    handler.handle(machine, heartbeat(rejected));
    handler.handle(machine, heartbeat());
    assertTrue(machine.tasks().isEmpty());
    pass(500);
    assertIdlenessTold(500);
  }

  @Test
  void taskThatHasEnded() {
    run();
    handler.handle(machine, heartbeat());
    pass(500);
    assertIdlenessTold(500);
  }

  @Test
  void taskThatADirectCommandHasStopped() {
    run();
    applier.apply(machine, heartbeat(), false);
    pass(500);
    assertIdlenessTold(500);
  }

  @Test
  void taskWhoseLeaseHasExpired() {
    run();
    machine.expireLease(clock.now());
    handler.handle(machine, heartbeat());
    pass(500);
    assertIdlenessTold(500);
  }

  /** Handed to another leader and back, the machine is told as its new leadership finds it. */
  @Test
  void machineThatChangesItsLeader() {
    run();
    machines.remove(MACHINE);
    assertEquals(List.of(), statuses.unpublishedChanges());
    pass(HEARTBEAT_MS);
    machine = machines.add(MACHINE, TYPE, "a", false, TOKEN);
    handler.handle(machine, heartbeat());
    pass(500);
    assertIdlenessTold(500);
  }

  /** Idleness isn't told as busy by a heartbeat that changes nothing. */
  @Test
  void idleMachineStaysIdle() {
    pass(HEARTBEAT_MS);
    handler.handle(machine, heartbeat());
    assertEquals(List.of(), statuses.unpublishedChanges());
    assertTrue(machine.published().status().idleMs() > 0);
    reserve();
    handler.handle(machine, heartbeat());
    assertEquals(List.of(), statuses.unpublishedChanges());
    assertEquals(0, machine.published().status().idleMs());
  }
}
