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
 * Guards against a 404, 400 or 422 that one controller tells after another has told that the job is
 * accepted (forgotten): the refusal rests on a read that was made before and came back slowly.
 */
class AcceptedJobAnswersTest {
  private static final String JOB = "wk-000001";

  /** What the state service answers the asked controller comes so much later. */
  private static final long SLOW_ANSWERS_MS = 800;

  /** Between the question and the submission: enough for the question's read to be made. */
  private static final long READ_MADE_MS = 30;

  /** A submission takes one transaction, as ever. */
  private static final long ACCEPTED_WITHIN_MS = 700;

  /** No request is held back longer than a read counts, a cancellation by its transaction too. */
  private static final long ANSWERED_WITHIN_MS = 1_100;

  private static final long CANCELLED_WITHIN_MS = 3_000;

  /** A question is over for good: its answer and the word of it have reached everybody. */
  private static final long QUESTION_OVER_MS = 1_000;

  /** What a user asks about a job that nobody has submitted yet. */
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

  /** An answer, and when it was sent. */
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

  private static TimedAnswer only(List<TimedAnswer> answers) {
    assertEquals(1, answers.size(), "answered once");
    return answers.get(0);
  }

  /** Submits again and again until the job is called accepted, as users do. */
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

  /** One that is read before the job is recorded, and whose read is answered so much later. */
  private static List<TimedAnswer> askSlowly(
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
    long tookMs = only(answers).atMs() - askedMs;
    assertTrue(tookMs <= withinMs, "answered after " + tookMs + " ms");
    assertEquals(List.of(), sim.checker.violations);
  }

  @ParameterizedTest
  @EnumSource(Question.class)
  void noRefusalAfterTheAcceptanceIsTold(Question question) {
    int acceptedFirst = 0;
    for (long seed = 861; seed <= 900; seed++) {
      Simulation sim = ready(new Simulation(seed));
      long askedMs = sim.nowMs;
      List<TimedAnswer> slow =
          askSlowly(sim, sim.controllers.get("n1"), question, 100 + 15 * (seed % 40));
      long submittedMs = sim.nowMs;
      List<TimedAnswer> accepted = submit(sim, sim.controllers.get("n0"));
      sim.runUntil(sim.nowMs + 4_000);
      assertAnswered(
          sim,
          slow,
          askedMs,
          question == Question.CANCELLATION ? CANCELLED_WITHIN_MS : ANSWERED_WITHIN_MS);
      assertEquals("pending", only(accepted).response().state());
      assertTrue(only(accepted).atMs() - submittedMs <= ACCEPTED_WITHIN_MS, "as soon as ever");
      acceptedFirst += only(accepted).atMs() < only(slow).atMs() ? 1 : 0;
    }
    assertTrue(acceptedFirst > 0, "the order of events took place in no history");
  }

  /** A peer that can't be reached may accept the job at any moment. */
  @ParameterizedTest
  @EnumSource(Question.class)
  void silentPeerMayHaveAcceptedTheJob(Question question) {
    for (long seed = 901; seed <= 910; seed++) {
      Simulation sim = ready(new Simulation(seed));
      sim.partitionDelayMs = 60_000;
      sim.partitionPeers();
      long askedMs = sim.nowMs;
      List<TimedAnswer> slow = askSlowly(sim, sim.controllers.get("n1"), question, SLOW_ANSWERS_MS);
      List<TimedAnswer> accepted = submit(sim, sim.controllers.get("n0"));
      sim.runUntil(sim.nowMs + 4_000);
      assertAnswered(sim, slow, askedMs);
      assertEquals(503, only(slow).response().status());
      assertEquals("pending", only(accepted).response().state());
    }
  }

  /** Whoever stands still while it is asked, or while it asks, tells nothing that is too old. */
  @Test
  void pausedControllersTellNothingOld() {
    for (String pausing : List.of("n0", "n1", "n2")) {
      for (long pauseMs : new long[] {50, 300, 900, 1_100, 3_000}) {
        Simulation sim = ready(new Simulation(911));
        List<TimedAnswer> slow =
            askSlowly(sim, sim.controllers.get("n1"), Question.QUERY, SLOW_ANSWERS_MS / 4);
        sim.controllers.get(pausing).pauseMs = pauseMs;
        submitUntilAccepted(sim, sim.controllers.get("n0"));
        sim.runUntil(sim.nowMs + 5_000);
        only(slow);
        assertEquals(List.of(), sim.checker.violations, pausing + " for " + pauseMs + " ms");
      }
    }
  }

  /** A controller of an older version answers no question about what it has accepted. */
  @Test
  void olderVersionMayHaveAcceptedTheJob() {
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
            askSlowly(sim, sim.controllers.get("n1"), Question.QUERY, SLOW_ANSWERS_MS);
        submit(sim, old);
        sim.runUntil(sim.nowMs + 4_000);
        assertAnswered(sim, slow, askedMs);
      }
    }
  }

  /** The submission comes while a peer is being told that there is no such job, or just after. */
  @Test
  void submissionDuringTheQuestionIsAcceptedSoon() {
    for (long delayMs = 0; delayMs <= 60; delayMs += 2) {
      Simulation sim = ready(new Simulation(931));
      List<TimedAnswer> asked = ask(sim, sim.controllers.get("n1"), Question.QUERY);
      sim.runUntil(sim.nowMs + delayMs);
      long submittedMs = sim.nowMs;
      long acceptedMs = submitUntilAccepted(sim, sim.controllers.get("n0")).atMs();
      sim.runUntil(sim.nowMs + 2_000);
      only(asked);
      assertTrue(acceptedMs - submittedMs <= 3_000, "accepted late: " + acceptedMs);
      assertEquals(List.of(), sim.checker.violations);
    }
  }

  /** Who asks first, is told that there is no such job, and submits it then, isn't held back. */
  @Test
  void submissionAfterTheQuestionIsAcceptedAtOnce() {
    for (long seed = 932; seed <= 940; seed++) {
      Simulation sim = ready(new Simulation(seed));
      List<TimedAnswer> asked = ask(sim, sim.controllers.get("n1"), Question.QUERY);
      sim.runUntil(sim.nowMs + QUESTION_OVER_MS);
      assertEquals(404, only(asked).response().status());
      List<TimedAnswer> accepted = submit(sim, sim.controllers.get("n0"));
      sim.runUntil(sim.nowMs + ACCEPTED_WITHIN_MS);
      assertEquals("pending", only(accepted).response().state());
    }
  }

  /** Questions that never stop hold no acceptance back. */
  @Test
  void questionsAllTheTimeHoldNoAcceptanceBack() {
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

  /** A process that vouched for the job's absence ends, and its successor accepts the job. */
  @Test
  void successorKeepsWhatItsPredecessorVouchedFor() {
    for (long seed = 951; seed <= 990; seed++) {
      Simulation sim = ready(new Simulation(seed));
      SimulatedController silent = sim.controllers.get("n2");
      // its reply comes late, but in time for the asker
      silent.pauseMs = 700;
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
      only(asked);
      assertEquals(List.of(), sim.checker.violations, "seed " + seed);
    }
  }

  /** Nobody's job is answered 404 in ordinary times, 503 beside a silent peer, and 404 again. */
  @Test
  void unknownJobIsAnswered404UnlessAPeerIsSilent() {
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
      assertEquals(status, only(answers).response().status());
    }
  }
}
