package mallowstall.core;

import static mallowstall.core.SafetyTestSupport.cancelAt;
import static mallowstall.core.SafetyTestSupport.runningTasksByLeader;
import static mallowstall.core.SafetyTestSupport.sum;
import static mallowstall.core.model.JobSpecBuilder.batchJob;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import mallowstall.core.kernel.PutOperation;
import mallowstall.core.kernel.Transaction;
import mallowstall.core.kv.StateKeys;
import mallowstall.core.model.ApiResponse;
import mallowstall.core.model.JobSpec;
import mallowstall.core.model.SessionEntry;
import mallowstall.core.model.TaskState;
import org.junit.jupiter.api.Test;

/**
 * Requests of users and controllers that are overtaken: by a restart, by a cancellation, or by a
 * newer session.
 */
class DelayedRequestsTest {
  private static final String CANCELLED_JOB = "wk-000001";

  /** ms. A query to the peers may wait for the one before, and both ways may be slow. */
  private static final long PEERS_ASKED_WITHIN_MS = 500;

  /**
   * A controller's former incarnation asked for its session, without an answer; it is carried out
   * after the new process has its own, and ends with the former one's lease. The new one must not
   * go on renewing a lease without a session, as all others would take it for dead.
   */
  @Test
  void delayedSessionWriteReplacesNoNewerSession() {
    Simulation sim = new Simulation(120);
    sim.runUntil(8_000);
    SimulatedController node = sim.controllers.get("n1");
    long former = node.core.incarnation();
    long lease = sim.stateService.entries.get(StateKeys.session("n1")).leaseId();
    node.crash(150);
    while (node.core.incarnation() == 0 || node.core.store().sessionRemainingMs() <= 0) {
      sim.runUntil(sim.nowMs + 10);
    }
    assertTrue(sim.stateService.leases.containsKey(lease), "the former lease hasn't ended yet");
    // as a former version would have asked for it, compared with nothing
    PutOperation late =
        new PutOperation(StateKeys.session("n1"), new SessionEntry("n1", former), lease);
    sim.stateService.transact(new Transaction(List.of(), List.of(late), List.of()));
    long until = sim.nowMs + 12_000;
    boolean lost = false;
    while (sim.nowMs < until) {
      sim.runUntil(sim.nowMs + 50);
      lost |= !sim.stateService.entries.containsKey(StateKeys.session("n1"));
      SimulatedStateService.StoredValue value =
          sim.stateService.entries.get(StateKeys.session("n1"));
      lost |= value != null && ((SessionEntry) value.value()).incarnation() == former;
    }
    assertTrue(lost, "it was replaced");
    SimulatedStateService.StoredValue now = sim.stateService.entries.get(StateKeys.session("n1"));
    assertEquals(node.core.incarnation(), ((SessionEntry) now.value()).incarnation());
    assertTrue(sim.stateService.leases.containsKey(now.leaseId()));
    sim.users.submit(batchJob(CANCELLED_JOB).tasks(12).build());
    sim.runUntil(sim.nowMs + 60_000);
    assertEquals(List.of(), sim.checker.violations);
    assertEquals("done", sim.checker.lastState(CANCELLED_JOB));
  }

  /** What this version asks for is compared with what was read, so the late one fails. */
  @Test
  void sessionWriteIsConditionalOnReadVersion() {
    Simulation sim = new Simulation(121);
    sim.runUntil(8_000);
    List<Transaction> asked = sim.stateService.receivedTransactions;
    assertTrue(
        asked.stream()
            .filter(
                transaction ->
                    transaction.puts().stream()
                        .anyMatch(put -> put.value() instanceof SessionEntry))
            .allMatch(
                txn ->
                    txn.conditions().stream()
                        .anyMatch(
                            condition -> condition.key().startsWith(StateKeys.SESSION_PREFIX))));
    assertTrue(
        asked.stream()
            .anyMatch(t -> t.puts().stream().anyMatch(p -> p.value() instanceof SessionEntry)));
  }

  /**
   * A submission whose answer comes after the controller stood still must not call pending what
   * others have called cancelled meanwhile; a repeated submission is never rejected.
   */
  @Test
  void delayedSubmitResponseReportsCurrentState() {
    Simulation sim = new Simulation(122);
    sim.runUntil(8_000);
    SimulatedController slow = sim.controllers.get("n0");
    slow.stateDelayMs = 3_500;
    List<ApiResponse> responses = new ArrayList<>();
    JobSpec spec = batchJob(CANCELLED_JOB).tasks(4).build();
    sim.checker.onSubmitted(spec);
    slow.enqueueEvent(() -> slow.core.submit(spec, responses::add));
    sim.runUntil(sim.nowMs + 400);
    assertEquals(List.of(), responses);
    assertEquals("cancelled", cancelAt(sim, sim.controllers.get("n1"), CANCELLED_JOB).state());
    sim.runUntil(sim.nowMs + 3_300);
    slow.stateDelayMs = 0;
    sim.runUntil(sim.nowMs + 5_000);
    assertEquals(1, responses.size());
    ApiResponse answer = responses.get(0);
    assertEquals(503, answer.status(), answer.toString());
    slow.enqueueEvent(() -> slow.core.submit(spec, responses::add));
    sim.runUntil(sim.nowMs + 1_000);
    assertEquals("cancelled", responses.get(1).state());
    assertEquals(200, responses.get(1).status());
  }

  /** Invalid, but accepted all the same, as by another version: its state is reported. */
  @Test
  void resubmittingAcceptedJobIsNeverRejected() {
    Simulation sim = new Simulation(123);
    sim.taskRunMs = 100_000;
    sim.runUntil(8_000);
    sim.users.submit(batchJob(CANCELLED_JOB).tasks(4).build());
    sim.runUntil(9_000);
    for (SimulatedController node : sim.controllers.values()) {
      for (String id : List.of(CANCELLED_JOB, "wk-000777")) {
        List<ApiResponse> responses = new ArrayList<>();
        JobSpec never = batchJob(id).tasks(1).cpus(99).build();
        node.enqueueEvent(() -> node.core.submit(never, responses::add));
        sim.runUntil(sim.nowMs + 1_000);
        node.enqueueEvent(
            () -> node.core.rejectSubmission(id, "oficio must be batch", responses::add));
        sim.runUntil(sim.nowMs + 1_000);
        assertEquals(id.equals(CANCELLED_JOB) ? 200 : 422, responses.get(0).status());
        assertEquals(id.equals(CANCELLED_JOB) ? 200 : 400, responses.get(1).status());
      }
    }
    // also while the state service can't be asked, once all peers have been
    sim.stateService.outage = true;
    sim.runUntil(sim.nowMs + 5_000);
    List<ApiResponse> responses = new ArrayList<>();
    SimulatedController controller = sim.controllers.get("n0");
    controller.enqueueEvent(
        () ->
            controller.core.rejectSubmission("wk-000778", "oficio must be batch", responses::add));
    sim.runUntil(sim.nowMs + PEERS_ASKED_WITHIN_MS);
    assertEquals(1, responses.size(), "answered once, and at once");
    assertEquals(400, responses.get(0).status());
    controller.enqueueEvent(
        () ->
            controller.core.rejectSubmission(
                CANCELLED_JOB, "oficio must be batch", responses::add));
    sim.runUntil(sim.nowMs + 1_000);
    assertEquals(503, responses.get(1).status());
  }

  /**
   * The state service answers slowly while a user asks at one controller and cancels at another:
   * the question, read before the cancellation, is answered after it was confirmed.
   */
  @Test
  void queryOvertakenByCancellationReportsNoOlderState() {
    for (long lag : new long[] {300, 600, 900}) {
      Simulation sim = new Simulation(124);
      sim.taskRunMs = 100_000;
      sim.runUntil(8_000);
      sim.users.submit(batchJob(CANCELLED_JOB).tasks(4).build());
      sim.runUntil(12_000);
      SimulatedController slow = sim.controllers.get("n0");
      slow.stateDelayMs = lag;
      sim.checker.onCancelRequested(CANCELLED_JOB);
      List<ApiResponse> asked = new ArrayList<>();
      List<ApiResponse> cancelled = new ArrayList<>();
      slow.enqueueEvent(() -> slow.core.query(CANCELLED_JOB, asked::add));
      sim.runUntil(sim.nowMs + 30);
      SimulatedController fast = sim.controllers.get("n1");
      fast.enqueueEvent(() -> fast.core.cancel(CANCELLED_JOB, cancelled::add));
      sim.runUntil(sim.nowMs + 150);
      assertEquals("cancelled", cancelled.get(0).state());
      assertEquals(List.of(), asked, "not answered yet");
      sim.runUntil(sim.nowMs + 1_500);
      assertTrue(
          asked.get(0).status() == 503 || asked.get(0).state().equals("cancelled"),
          lag + ": " + asked.get(0));
    }
  }

  /**
   * A job is cancelled while its tasks wait for their image: hardly one of them begins after the
   * confirmation, as the stop does not wait for the next heartbeat.
   */
  @Test
  void fetchingTasksDoNotStartAfterCancellation() {
    int waiting = 0;
    int begun = 0;
    for (long seed = 0; seed < 12; seed++) {
      Simulation sim = new Simulation(140 + seed);
      sim.runUntil(8_000);
      sim.users.submit(batchJob(CANCELLED_JOB).tasks(12).build());
      long until = sim.nowMs + 3_000;
      while (sim.nowMs < until && sum(runningTasksByLeader(sim, CANCELLED_JOB)) < 8) {
        sim.runUntil(sim.nowMs + 20);
      }
      sim.runUntil(sim.nowMs + 250);
      assertEquals(
          "cancelled", cancelAt(sim, sim.controllers.get("n" + seed % 3), CANCELLED_JOB).state());
      for (SimulatedWorker worker : sim.workers.values()) {
        for (SimulatedTask task : worker.tasks.values()) {
          if (task.state == TaskState.FETCHING) {
            waiting++;
          }
        }
      }
      sim.runUntil(sim.nowMs + 10_000);
      begun += sim.checker.startsAfterCancelCount;
      assertEquals(List.of(), sim.checker.violations);
    }
    assertTrue(waiting > 40, "waited: " + waiting);
    assertTrue(begun * 10 < waiting, "of " + waiting + " that waited, begun: " + begun);
  }
}
