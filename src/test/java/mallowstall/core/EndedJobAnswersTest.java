package mallowstall.core;

import static mallowstall.core.model.JobSpecBuilder.batchJob;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import mallowstall.core.model.ApiResponse;
import mallowstall.core.model.JobOutcome;
import mallowstall.core.model.OutcomeAcknowledgement;
import mallowstall.core.model.OutcomeAnnouncement;
import mallowstall.core.model.ProgramVersion;
import org.junit.jupiter.api.Test;

/**
 * Guards against an open state (pending or running) that one controller reports after another
 * controller has reported the job's end (violation "went_back"). The answer rests on a read that
 * the state service executed before the end and whose response arrived late.
 */
class EndedJobAnswersTest {
  private static final String JOB = "wk-000001";

  /** Delay of the state service's responses to the queried controller, in milliseconds. */
  private static final long READ_DELAY_MS = 800;

  /**
   * Time between a query and the job's end, in milliseconds. The state service executes the read of
   * the query within this time.
   */
  private static final long READ_MADE_MS = 30;

  /**
   * Maximum time in milliseconds until all peers, slow ones included, have acknowledged an outcome,
   * including the transaction or read before it.
   */
  private static final long ACKNOWLEDGED_WITHIN_MS = 700;

  /**
   * Maximum time in milliseconds until an outcome is settled without acknowledgements. It is the
   * sum of a read's validity (1,000 ms), the margin (50 ms) and {@link #ACKNOWLEDGED_WITHIN_MS},
   * which covers the transaction.
   */
  private static final long SETTLED_WITHIN_MS = 1_050 + 700;

  private static final long RUN_MS = 300_000;

  /**
   * Returns a delay of a read response in milliseconds, which is 30 to 125 depending on the seed.
   * Another controller of usual speed reports a cancellation in about this time.
   */
  private static long delayNearCancellation(long seed) {
    return READ_MADE_MS + 5 * (seed % 20);
  }

  /** An answer to a user, and the simulated time at which it was sent, in milliseconds. */
  private record TimedAnswer(ApiResponse response, long atMs) {}

  private static Simulation runJob(Simulation sim, long runMs) {
    sim.taskRunMs = runMs;
    sim.runUntil(8_000);
    sim.checker.onSubmitted(batchJob(JOB).tasks(1).cpus(1).build());
    List<TimedAnswer> accepted = new ArrayList<>();
    SimulatedController leader = sim.controllers.get("n0");
    leader.enqueueEvent(
        () -> leader.core.submit(batchJob(JOB).tasks(1).cpus(1).build(), record(sim, accepted)));
    sim.runUntil(sim.nowMs + 3_000);
    assertEquals("pending", accepted.get(0).response().state());
    return sim;
  }

  private static Consumer<ApiResponse> record(Simulation sim, List<TimedAnswer> answers) {
    long requestedMs = sim.nowMs;
    return response -> {
      answers.add(new TimedAnswer(response, sim.nowMs));
      sim.checker.onAnswer(sim.nowMs, requestedMs, JOB, response.status(), response.state());
    };
  }

  private static List<TimedAnswer> query(Simulation sim, SimulatedController node) {
    List<TimedAnswer> answers = new ArrayList<>();
    node.enqueueEvent(() -> node.core.query(JOB, record(sim, answers)));
    return answers;
  }

  private static List<TimedAnswer> cancel(Simulation sim, SimulatedController node) {
    sim.checker.onCancelRequested(JOB);
    List<TimedAnswer> answers = new ArrayList<>();
    node.enqueueEvent(() -> node.core.cancel(JOB, record(sim, answers)));
    return answers;
  }

  /**
   * Asserts that the request was answered once, with the state, at most {@code withinMs} after it
   * was sent, and that no invariant was violated.
   */
  private static void assertReported(
      Simulation sim, List<TimedAnswer> answers, String state, long requestedMs, long withinMs) {
    assertEquals(1, answers.size(), "answered once");
    assertEquals(state, answers.get(0).response().state());
    long tookMs = answers.get(0).atMs() - requestedMs;
    assertTrue(tookMs <= withinMs, "reported after " + tookMs + " ms");
    assertEquals(List.of(), sim.checker.violations);
  }

  /** Sends a query and runs until its read is executed; the response comes {@code delayMs} late. */
  private static List<TimedAnswer> queryWithDelayedRead(
      Simulation sim, SimulatedController queriedController, long delayMs) {
    queriedController.stateDelayMs = delayMs;
    List<TimedAnswer> answers = query(sim, queriedController);
    sim.runUntil(sim.nowMs + READ_MADE_MS);
    return answers;
  }

  /**
   * Cancels the job after the read of a query with a delayed read response. Asserts that both
   * requests are answered and that the order of the answers violates no invariant.
   */
  private static void assertCancelledAfterDelayedQuery(
      Simulation sim, SimulatedController queriedController, long delayMs, long withinMs) {
    List<TimedAnswer> slow = queryWithDelayedRead(sim, queriedController, delayMs);
    long requestedMs = sim.nowMs;
    List<TimedAnswer> cancelled = cancel(sim, sim.controllers.get("n2"));
    sim.runUntil(sim.nowMs + 4_000);
    assertReported(sim, cancelled, "cancelled", requestedMs, withinMs);
    assertEquals(1, slow.size());
  }

  @Test
  void noOpenStateAfterCancellationIsReported() {
    for (long seed = 601; seed <= 640; seed++) {
      Simulation sim = runJob(new Simulation(seed), RUN_MS);
      assertCancelledAfterDelayedQuery(
          sim, sim.controllers.get("n1"), delayNearCancellation(seed), ACKNOWLEDGED_WITHIN_MS);
    }
  }

  @Test
  void noOpenStateAfterCompletionIsReported() {
    int reportedBeforeDelayedAnswer = 0;
    for (long seed = 641; seed <= 680; seed++) {
      Simulation sim = runJob(new Simulation(seed), 4_000);
      while (sim.checker.remainingTasks(JOB) > 0 && sim.nowMs < 60_000) {
        sim.runUntil(sim.nowMs + 5);
      }
      // the task has ended, and the job leader hasn't recorded the end yet
      List<TimedAnswer> slow = queryWithDelayedRead(sim, sim.controllers.get("n1"), READ_DELAY_MS);
      long end = sim.nowMs + 2_000;
      List<TimedAnswer> doneAnswers = List.of();
      while (sim.nowMs < end
          && (doneAnswers.isEmpty() || !"done".equals(doneAnswers.get(0).response().state()))) {
        doneAnswers = query(sim, sim.controllers.get("n0"));
        sim.runUntil(sim.nowMs + 100);
      }
      reportedBeforeDelayedAnswer += slow.isEmpty() && !doneAnswers.isEmpty() ? 1 : 0;
      sim.runUntil(sim.nowMs + 3_000);
      assertEquals(List.of(), sim.checker.violations, "seed " + seed);
      assertEquals("done", sim.checker.lastState(JOB));
    }
    assertTrue(reportedBeforeDelayedAnswer > 0, "no history had this order of events");
  }

  /**
   * A peer that can't be reached may answer users from a read before the cancellation until the
   * read is too old. The confirmation waits for that long.
   */
  @Test
  void cancellationWaitsForReadsOfUnreachablePeersToExpire() {
    for (long seed = 681; seed <= 700; seed++) {
      Simulation sim = runJob(new Simulation(seed), RUN_MS);
      sim.partitionDelayMs = 60_000;
      sim.partitionPeers();
      assertCancelledAfterDelayedQuery(
          sim, sim.controllers.get("n1"), READ_DELAY_MS, SETTLED_WITHIN_MS);
    }
  }

  /**
   * A peer that was paused sends no open state after another controller has confirmed the
   * cancellation. It answers 503 if its read took longer than 1,000 ms, which is too old.
   */
  @Test
  void pausedPeerReportsNoStaleStateAfterPause() {
    for (long pauseMs : new long[] {500, 900, 1_100, 1_500, 3_000}) {
      Simulation sim = runJob(new Simulation(701), RUN_MS);
      SimulatedController paused = sim.controllers.get("n1");
      List<TimedAnswer> slow = query(sim, paused);
      sim.runUntil(sim.nowMs + 2);
      paused.pauseMs = pauseMs;
      long requestedMs = sim.nowMs;
      List<TimedAnswer> cancelled = cancel(sim, sim.controllers.get("n2"));
      sim.runUntil(sim.nowMs + 6_000);
      assertReported(sim, cancelled, "cancelled", requestedMs, SETTLED_WITHIN_MS);
      assertEquals(1, slow.size());
    }
  }

  /**
   * A controller of an older version neither sends nor receives announcements of outcomes and their
   * acknowledgements.
   */
  @Test
  void cancellationWaitsForReadsOfOlderVersionToExpire() {
    for (int version : new int[] {ProgramVersion.UNKNOWN, ProgramVersion.WITH_SERVICES}) {
      for (long seed = 711; seed <= 740; seed++) {
        Simulation sim = new Simulation(seed);
        SimulatedController old = sim.controllers.get("n1");
        old.installedVersion = version;
        old.crash(100);
        runJob(sim, RUN_MS);
        assertCancelledAfterDelayedQuery(sim, old, delayNearCancellation(seed), SETTLED_WITHIN_MS);
      }
    }
  }

  /**
   * A cancellation is repeated at several controllers. Each of them confirms it once the outcome is
   * settled, and none confirms it earlier.
   */
  @Test
  void repeatedCancellationIsConfirmedEverywhere() {
    for (long seed = 721; seed <= 740; seed++) {
      Simulation sim = runJob(new Simulation(seed), RUN_MS);
      List<TimedAnswer> slow =
          queryWithDelayedRead(sim, sim.controllers.get("n1"), delayNearCancellation(seed));
      long requestedMs = sim.nowMs;
      List<List<TimedAnswer>> confirmations = new ArrayList<>();
      for (String node : List.of("n2", "n0", "n2")) {
        confirmations.add(cancel(sim, sim.controllers.get(node)));
        sim.runUntil(sim.nowMs + 3);
      }
      sim.runUntil(sim.nowMs + 3_000);
      for (List<TimedAnswer> confirmation : confirmations) {
        assertReported(sim, confirmation, "cancelled", requestedMs, SETTLED_WITHIN_MS);
      }
      assertEquals(1, slow.size());
    }
  }

  /** Some queries are answered with a state while the state service is slow for all controllers. */
  @Test
  void queriesAreAnsweredWhileStateServiceIsSlow() {
    Simulation sim = runJob(new Simulation(751), RUN_MS);
    sim.maxStateDelayMs = 1_400;
    cancel(sim, sim.controllers.get("n2"));
    int answersWithState = 0;
    for (int i = 0; i < 15; i++) {
      List<TimedAnswer> answers = query(sim, sim.controllers.get("n" + i % 3));
      sim.runUntil(sim.nowMs + 5_000);
      answersWithState += answers.get(0).response().state() == null ? 0 : 1;
    }
    assertTrue(answersWithState > 0, "answers with a state within 75 s: " + answersWithState);
    assertEquals(List.of(), sim.checker.violations);
  }

  /**
   * Every controller immediately reports an outcome that was recorded about 5 s ago, even if the
   * controller can't reach its peers.
   */
  @Test
  void knownOutcomeIsReportedAtOnce() {
    Simulation sim = runJob(new Simulation(752), RUN_MS);
    cancel(sim, sim.controllers.get("n2"));
    sim.runUntil(sim.nowMs + 5_000);
    sim.partitionPeers();
    for (SimulatedController node : sim.controllers.values()) {
      List<TimedAnswer> answers = query(sim, node);
      long requestedMs = sim.nowMs;
      sim.runUntil(sim.nowMs + 1_000);
      assertEquals(requestedMs, answers.get(0).atMs());
    }
  }

  /**
   * Outcome messages for an unknown job create no entry and don't delay answers about other jobs. A
   * query for the unknown job returns 503 instead of 404, since a peer has announced its outcome.
   */
  @Test
  void outcomeMessagesForUnknownJobCreateNoEntry() {
    Simulation sim = runJob(new Simulation(753), RUN_MS);
    SimulatedController node = sim.controllers.get("n1");
    String unknown = "wk-000099";
    node.enqueueEvent(() -> node.core.handleMessage(new OutcomeAcknowledgement("nobody", unknown)));
    node.enqueueEvent(
        () -> node.core.handleMessage(new OutcomeAnnouncement("n2", unknown, JobOutcome.DONE)));
    List<ApiResponse> answers = new ArrayList<>();
    node.enqueueEvent(() -> node.core.query(unknown, answers::add));
    sim.runUntil(sim.nowMs + 1_000);
    assertNull(node.core.store().job(unknown));
    assertEquals(503, answers.get(0).status(), "a peer announced the outcome: not 404");
    assertEquals("running", queryAndAwait(sim, node).response().state());
    assertEquals(List.of(), sim.checker.violations);
  }

  private static TimedAnswer queryAndAwait(Simulation sim, SimulatedController node) {
    List<TimedAnswer> answers = query(sim, node);
    sim.runUntil(sim.nowMs + 1_000);
    return answers.get(0);
  }
}
