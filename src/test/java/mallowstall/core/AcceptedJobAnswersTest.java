package mallowstall.core;

import static mallowstall.core.model.JobSpecBuilder.batchJob;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import mallowstall.core.model.ApiResponse;
import mallowstall.core.model.JobSpec;
import mallowstall.core.model.ProgramVersion;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against a 404, 400 or 422 that one controller returns after another controller has
 * reported the job as accepted (violation "forgotten"). The rejection rests on a read that the
 * state service executed before the acceptance and whose response arrived late.
 */
class AcceptedJobAnswersTest {
  private static final String JOB = "wk-000001";

  /** Delay of the state service's responses to the queried controller, in milliseconds. */
  private static final long READ_DELAY_MS = 800;

  /**
   * Time between a request and the submission, in milliseconds. The state service executes the read
   * of the request within this time.
   */
  private static final long READ_MADE_MS = 30;

  /** Maximum time of a submission, which takes one transaction, in milliseconds. */
  private static final long ACCEPTED_WITHIN_MS = 700;

  /**
   * Maximum time until a request is answered, in milliseconds. A request waits no longer than its
   * read counts; a cancellation also waits for its transaction.
   */
  private static final long ANSWERED_WITHIN_MS = 1_100;

  private static final long CANCELLED_WITHIN_MS = 3_000;

  /**
   * Time after which a query is complete, in milliseconds: the user has the answer and all peers
   * have received the end of the acceptance query.
   */
  private static final long QUERY_COMPLETE_MS = 1_000;

  /** A user's request for a job that no user has submitted yet. */
  private enum Question {
    QUERY,
    CANCELLATION,
    MALFORMED_SUBMISSION,
    IMPOSSIBLE_SUBMISSION;

    void send(ControllerCore core, Consumer<ApiResponse> reply) {
      switch (this) {
        case QUERY -> core.query(JOB, reply);
        case CANCELLATION -> core.cancel(JOB, reply);
        case MALFORMED_SUBMISSION -> core.rejectSubmission(JOB, "a field is missing", reply);
        case IMPOSSIBLE_SUBMISSION -> core.submit(batchJob(JOB).tasks(1).cpus(99).build(), reply);
      }
    }
  }

  /** An answer to a user, and the simulated time at which it was sent, in milliseconds. */
  private record TimedAnswer(ApiResponse response, long atMs) {}

  private static JobSpec job() {
    return batchJob(JOB).tasks(1).cpus(1).build();
  }

  private static Simulation ready(Simulation sim) {
    sim.taskRunMs = 300_000;
    sim.runUntil(8_000);
    sim.checker.onSubmitted(job());
    return sim;
  }

  private static List<TimedAnswer> ask(
      Simulation sim,
      SimulatedController node,
      BiConsumer<ControllerCore, Consumer<ApiResponse>> request) {
    long askedMs = sim.nowMs;
    List<TimedAnswer> answers = new ArrayList<>();
    node.enqueueEvent(
        () ->
            request.accept(
                node.core,
                response -> {
                  answers.add(new TimedAnswer(response, sim.nowMs));
                  sim.checker.onAnswer(
                      sim.nowMs, askedMs, JOB, response.status(), response.state());
                  node.closeConnection(response).run();
                }));
    return answers;
  }

  private static List<TimedAnswer> ask(
      Simulation sim, SimulatedController node, Question question) {
    if (question == Question.CANCELLATION) {
      sim.checker.onCancelRequested(JOB);
    }
    return ask(sim, node, question::send);
  }

  private static List<TimedAnswer> submit(Simulation sim, SimulatedController node) {
    return ask(sim, node, (core, reply) -> core.submit(job(), reply));
  }

  private static TimedAnswer onlyAnswer(List<TimedAnswer> answers) {
    assertEquals(1, answers.size(), "answered once");
    return answers.get(0);
  }

  /** Repeats the submission until the job is reported as accepted, as users do. */
  private static TimedAnswer submitUntilAccepted(Simulation sim, SimulatedController node) {
    for (long end = sim.nowMs + 60_000; sim.nowMs < end; ) {
      List<TimedAnswer> answers = submit(sim, node);
      sim.runUntil(sim.nowMs + 1_000);
      if (!answers.isEmpty() && answers.get(0).response().state() != null) {
        return answers.get(0);
      }
    }
    throw new AssertionError("not accepted within a minute");
  }

  /**
   * Sends a request whose read is executed before the job is recorded, and whose read response is
   * delayed by {@code delayMs}.
   */
  private static List<TimedAnswer> askWithDelayedRead(
      Simulation sim, SimulatedController asked, Question question, long delayMs) {
    asked.stateDelayMs = delayMs;
    List<TimedAnswer> answers = ask(sim, asked, question);
    sim.runUntil(sim.nowMs + READ_MADE_MS);
    return answers;
  }

  private static void assertAnswered(Simulation sim, List<TimedAnswer> answers, long askedMs) {
    assertAnswered(sim, answers, askedMs, ANSWERED_WITHIN_MS);
  }

  private static void assertAnswered(
      Simulation sim, List<TimedAnswer> answers, long askedMs, long withinMs) {
    long tookMs = onlyAnswer(answers).atMs() - askedMs;
    assertTrue(tookMs <= withinMs, "answered after " + tookMs + " ms");
    assertEquals(List.of(), sim.checker.violations);
  }

  @ParameterizedTest
  @EnumSource(Question.class)
  void noRejectionAfterAcceptanceIsReported(Question question) {
    int acceptedFirst = 0;
    for (long seed = 861; seed <= 900; seed++) {
      Simulation sim = ready(new Simulation(seed));
      long askedMs = sim.nowMs;
      List<TimedAnswer> slow =
          askWithDelayedRead(sim, sim.controllers.get("n1"), question, 100 + 15 * (seed % 40));
      long submittedMs = sim.nowMs;
      List<TimedAnswer> accepted = submit(sim, sim.controllers.get("n0"));
      sim.runUntil(sim.nowMs + 4_000);
      assertAnswered(
          sim,
          slow,
          askedMs,
          question == Question.CANCELLATION ? CANCELLED_WITHIN_MS : ANSWERED_WITHIN_MS);
      assertEquals("pending", onlyAnswer(accepted).response().state());
      assertTrue(onlyAnswer(accepted).atMs() - submittedMs <= ACCEPTED_WITHIN_MS, "accepted late");
      acceptedFirst += onlyAnswer(accepted).atMs() < onlyAnswer(slow).atMs() ? 1 : 0;
    }
    assertTrue(acceptedFirst > 0, "no history had this order of events");
  }

  /** A peer that can't be reached may accept the job at any time: requests are answered 503. */
  @ParameterizedTest
  @EnumSource(Question.class)
  void requestIsAnswered503WhilePeersAreUnreachable(Question question) {
    for (long seed = 901; seed <= 910; seed++) {
      Simulation sim = ready(new Simulation(seed));
      sim.partitionDelayMs = 60_000;
      sim.partitionPeers();
      long askedMs = sim.nowMs;
      List<TimedAnswer> slow =
          askWithDelayedRead(sim, sim.controllers.get("n1"), question, READ_DELAY_MS);
      List<TimedAnswer> accepted = submit(sim, sim.controllers.get("n0"));
      sim.runUntil(sim.nowMs + 4_000);
      assertAnswered(sim, slow, askedMs);
      assertEquals(503, onlyAnswer(slow).response().status());
      assertEquals("pending", onlyAnswer(accepted).response().state());
    }
  }

  /**
   * A controller that pauses while it handles a request or a peer's acceptance query reports no
   * stale state afterwards.
   */
  @Test
  void pausedControllerReportsNoStaleState() {
    for (String pausing : List.of("n0", "n1", "n2")) {
      for (long pauseMs : new long[] {50, 300, 900, 1_100, 3_000}) {
        Simulation sim = ready(new Simulation(911));
        List<TimedAnswer> slow =
            askWithDelayedRead(sim, sim.controllers.get("n1"), Question.QUERY, READ_DELAY_MS / 4);
        sim.controllers.get(pausing).pauseMs = pauseMs;
        submitUntilAccepted(sim, sim.controllers.get("n0"));
        sim.runUntil(sim.nowMs + 5_000);
        onlyAnswer(slow);
        assertEquals(List.of(), sim.checker.violations, pausing + " for " + pauseMs + " ms");
      }
    }
  }

  /**
   * A controller of an older version, which replies to no acceptance query, may have accepted the
   * job.
   */
  @Test
  void noRejectionAfterAcceptanceByOlderVersion() {
    for (int version = ProgramVersion.UNKNOWN;
        version <= ProgramVersion.WITH_OUTCOME_ANNOUNCEMENTS;
        version++) {
      for (long seed = 921; seed <= 930; seed++) {
        Simulation sim = new Simulation(seed);
        SimulatedController old = sim.controllers.get("n0");
        old.installedVersion = version;
        old.crash(100);
        ready(sim);
        long askedMs = sim.nowMs;
        List<TimedAnswer> slow =
            askWithDelayedRead(sim, sim.controllers.get("n1"), Question.QUERY, READ_DELAY_MS);
        submit(sim, old);
        sim.runUntil(sim.nowMs + 4_000);
        assertAnswered(sim, slow, askedMs);
      }
    }
  }

  /** The submission arrives while a peer handles a query for the job, or just after the query. */
  @Test
  void submissionDuringQueryIsAcceptedWithinThreeSeconds() {
    for (long delayMs = 0; delayMs <= 60; delayMs += 2) {
      Simulation sim = ready(new Simulation(931));
      List<TimedAnswer> asked = ask(sim, sim.controllers.get("n1"), Question.QUERY);
      sim.runUntil(sim.nowMs + delayMs);
      long submittedMs = sim.nowMs;
      long acceptedMs = submitUntilAccepted(sim, sim.controllers.get("n0")).atMs();
      sim.runUntil(sim.nowMs + 2_000);
      onlyAnswer(asked);
      assertTrue(acceptedMs - submittedMs <= 3_000, "accepted late: " + acceptedMs);
      assertEquals(List.of(), sim.checker.violations);
    }
  }

  /** A user who receives a 404 for the job and then submits it is not delayed. */
  @Test
  void submissionAfterQueryIsAcceptedAtOnce() {
    for (long seed = 932; seed <= 940; seed++) {
      Simulation sim = ready(new Simulation(seed));
      List<TimedAnswer> asked = ask(sim, sim.controllers.get("n1"), Question.QUERY);
      sim.runUntil(sim.nowMs + QUERY_COMPLETE_MS);
      assertEquals(404, onlyAnswer(asked).response().status());
      List<TimedAnswer> accepted = submit(sim, sim.controllers.get("n0"));
      sim.runUntil(sim.nowMs + ACCEPTED_WITHIN_MS);
      assertEquals("pending", onlyAnswer(accepted).response().state());
    }
  }

  /** Queries that arrive every 20 ms don't delay an acceptance by more than 3 s. */
  @Test
  void continuousQueriesDoNotDelayAcceptance() {
    Simulation sim = ready(new Simulation(941));
    for (int i = 0; i < 500; i++) {
      SimulatedController node = sim.controllers.get("n" + (1 + i % 2));
      sim.schedule(20L * i, () -> ask(sim, node, Question.QUERY));
    }
    sim.runUntil(sim.nowMs + 3_000);
    long submittedMs = sim.nowMs;
    long acceptedMs = submitUntilAccepted(sim, sim.controllers.get("n0")).atMs();
    assertTrue(acceptedMs - submittedMs <= 3_000, "accepted late: " + acceptedMs);
    sim.runUntil(sim.nowMs + 10_000);
    assertEquals(List.of(), sim.checker.violations);
  }

  /**
   * A controller process that granted a lease on the job's absence crashes, and the job is
   * submitted to the next process of the controller while the lease may still hold.
   */
  @Test
  void restartedControllerKeepsLeasesOfFormerProcess() {
    for (long seed = 951; seed <= 990; seed++) {
      Simulation sim = ready(new Simulation(seed));
      SimulatedController pausedPeer = sim.controllers.get("n2");
      // the peer's reply is late, but in time for the queried controller
      pausedPeer.pauseMs = 700;
      sim.runUntil(sim.nowMs + 101);
      List<TimedAnswer> asked = ask(sim, sim.controllers.get("n1"), Question.QUERY);
      sim.runUntil(sim.nowMs + 20 + seed % 20);
      SimulatedController accepting = sim.controllers.get("n0");
      accepting.crash(1);
      for (int i = 0; i < 60; i++) {
        sim.runUntil(sim.nowMs + 20);
        submit(sim, accepting);
      }
      sim.runUntil(sim.nowMs + 5_000);
      onlyAnswer(asked);
      assertEquals(List.of(), sim.checker.violations, "seed " + seed);
    }
  }

  /**
   * A query for a job that no user has submitted is answered 404 without faults, 503 while the
   * peers are unreachable, and 404 again afterwards.
   */
  @Test
  void unknownJobIsAnswered404UnlessPeersAreUnreachable() {
    Simulation sim = ready(new Simulation(995));
    assertUnknown(sim, 404);
    sim.partitionPeers();
    sim.runUntil(sim.nowMs + 10_000);
    assertUnknown(sim, 503);
    sim.healPartitions();
    sim.runUntil(sim.nowMs + 10_000);
    assertUnknown(sim, 404);
  }

  private static void assertUnknown(Simulation sim, int status) {
    for (int i = 0; i < 30; i++) {
      SimulatedController node = sim.controllers.get("n" + i % 3);
      long askedMs = sim.nowMs;
      List<TimedAnswer> answers = ask(sim, node, Question.QUERY);
      sim.runUntil(sim.nowMs + 1_200);
      assertAnswered(sim, answers, askedMs);
      assertEquals(status, onlyAnswer(answers).response().status());
    }
  }
}
