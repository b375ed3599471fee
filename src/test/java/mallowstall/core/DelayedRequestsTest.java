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
 * Guards against stale results of delayed requests of users and controllers. Before the delayed
 * request completes, a controller restarts, a job is cancelled or a newer session is written.
 */
class DelayedRequestsTest {
  private static final String CANCELLED_JOB = "wk-000001";

  /**
   * Maximum time of an acceptance query in milliseconds. The query may wait for the previous one,
   * and messages may be slow in both directions.
   */
  private static final long PEERS_QUERIED_WITHIN_MS = 500;

  /**
   * The former incarnation of a controller sent its session write and received no response. The
   * state service executes the write after the new process has its own session, and the entry
   * expires with the former incarnation's lease. The new process must not go on renewing a lease
   * without a session entry, as all other controllers would consider it down.
   */
  @Test
  void controllerRestoresSessionReplacedByDelayedWrite() {
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
    // a former version wrote its session entry without a condition
    PutOperation delayedWrite =
        new PutOperation(StateKeys.session("n1"), new SessionEntry("n1", former), lease);
    sim.stateService.transact(new Transaction(List.of(), List.of(delayedWrite), List.of()));
    long until = sim.nowMs + 12_000;
    boolean replaced = false;
    while (sim.nowMs < until) {
      sim.runUntil(sim.nowMs + 50);
      replaced |= !sim.stateService.entries.containsKey(StateKeys.session("n1"));
      SimulatedStateService.StoredValue value =
          sim.stateService.entries.get(StateKeys.session("n1"));
      replaced |= value != null && ((SessionEntry) value.value()).incarnation() == former;
    }
    assertTrue(replaced, "the new session entry was replaced");
    SimulatedStateService.StoredValue now = sim.stateService.entries.get(StateKeys.session("n1"));
    assertEquals(node.core.incarnation(), ((SessionEntry) now.value()).incarnation());
    assertTrue(sim.stateService.leases.containsKey(now.leaseId()));
    sim.users.submit(batchJob(CANCELLED_JOB).tasks(12).build());
    sim.runUntil(sim.nowMs + 60_000);
    assertEquals(List.of(), sim.checker.violations);
    assertEquals("done", sim.checker.lastState(CANCELLED_JOB));
  }

  /**
   * This version writes a session entry on the condition that the entry has the version that was
   * read, so that a delayed write fails.
   */
  @Test
  void sessionWriteIsConditionalOnReadVersion() {
    Simulation sim = new Simulation(121);
    sim.runUntil(8_000);
    List<Transaction> transactions = sim.stateService.receivedTransactions;
    assertTrue(
        transactions.stream()
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
        transactions.stream()
            .anyMatch(t -> t.puts().stream().anyMatch(p -> p.value() instanceof SessionEntry)));
  }

  /**
   * A controller receives the state service's response to a submission 3.5 s late. It must not
   * report the job as pending, as another controller has reported it as cancelled meanwhile. A
   * repeated submission is never rejected.
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

  /**
   * An invalid submission of an accepted job, which another version may have accepted, is answered
   * with the state of the job.
   */
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
        JobSpec infeasible = batchJob(id).tasks(1).cpus(99).build();
        node.enqueueEvent(() -> node.core.submit(infeasible, responses::add));
        sim.runUntil(sim.nowMs + 1_000);
        node.enqueueEvent(
            () -> node.core.rejectSubmission(id, "oficio must be batch", responses::add));
        sim.runUntil(sim.nowMs + 1_000);
        assertEquals(id.equals(CANCELLED_JOB) ? 200 : 422, responses.get(0).status());
        assertEquals(id.equals(CANCELLED_JOB) ? 200 : 400, responses.get(1).status());
      }
    }
    // also during an outage of the state service, once all peers have replied
    sim.stateService.outage = true;
    sim.runUntil(sim.nowMs + 5_000);
    List<ApiResponse> responses = new ArrayList<>();
    SimulatedController controller = sim.controllers.get("n0");
    controller.enqueueEvent(
        () ->
            controller.core.rejectSubmission("wk-000778", "oficio must be batch", responses::add));
    sim.runUntil(sim.nowMs + PEERS_QUERIED_WITHIN_MS);
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
   * The state service responds slowly to one controller. A user queries the job there and cancels
   * it at another controller. The read of the query is executed before the cancellation, and the
   * query is answered after the cancellation was confirmed.
   */
  @Test
  void queryDelayedPastCancellationReportsNoStaleState() {
    for (long lag : new long[] {300, 600, 900}) {
      Simulation sim = new Simulation(124);
      sim.taskRunMs = 100_000;
      sim.runUntil(8_000);
      sim.users.submit(batchJob(CANCELLED_JOB).tasks(4).build());
      sim.runUntil(12_000);
      SimulatedController slow = sim.controllers.get("n0");
      slow.stateDelayMs = lag;
      sim.checker.onCancelRequested(CANCELLED_JOB);
      List<ApiResponse> queryAnswers = new ArrayList<>();
      List<ApiResponse> cancelled = new ArrayList<>();
      slow.enqueueEvent(() -> slow.core.query(CANCELLED_JOB, queryAnswers::add));
      sim.runUntil(sim.nowMs + 30);
      SimulatedController fast = sim.controllers.get("n1");
      fast.enqueueEvent(() -> fast.core.cancel(CANCELLED_JOB, cancelled::add));
      sim.runUntil(sim.nowMs + 150);
      assertEquals("cancelled", cancelled.get(0).state());
      assertEquals(List.of(), queryAnswers, "not answered yet");
      sim.runUntil(sim.nowMs + 1_500);
      assertTrue(
          queryAnswers.get(0).status() == 503 || queryAnswers.get(0).state().equals("cancelled"),
          lag + ": " + queryAnswers.get(0));
    }
  }

  /**
   * A job is cancelled while its tasks fetch their image. Fewer than a tenth of them start after
   * the confirmation, as the stop command does not wait for the next heartbeat.
   */
  @Test
  void fewFetchingTasksStartAfterCancellation() {
    int fetching = 0;
    int started = 0;
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
            fetching++;
          }
        }
      }
      sim.runUntil(sim.nowMs + 10_000);
      started += sim.checker.startsAfterCancelCount;
      assertEquals(List.of(), sim.checker.violations);
    }
    assertTrue(fetching > 40, "fetching: " + fetching);
    assertTrue(started * 10 < fetching, "of " + fetching + " fetching tasks, started: " + started);
  }
}
