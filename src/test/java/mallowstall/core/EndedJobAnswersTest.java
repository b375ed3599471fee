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
 * Guards against an open state that one controller tells after another has told the job's end
 * (went_back): the answer rests on a read that was made before the end and came back slowly.
 */
class EndedJobAnswersTest {
  private static final String JOB = "wk-000001";

  /** What the state service answers the asked controller comes so much later. */
  private static final long SLOW_ANSWERS_MS = 800;

  /** Between the question and the job's end: enough for the question's read to be made. */
  private static final long READ_MADE_MS = 30;

  /** One exchange with every peer, slow ones included, beside the transaction or the read. */
  private static final long ACKNOWLEDGED_WITHIN_MS = 700;

  /** A read's life, with margins, and the transaction. */
  private static final long SETTLED_WITHIN_MS = 1_050 + 700;

  private static final long RUN_MS = 300_000;

  /** Just late enough for a cancellation to be told before, by other controllers' usual speed. */
  private static long delayPastCancellation(long seed) {
    return READ_MADE_MS + 5 * (seed % 20);
  }

  /** An answer and when it was sent. */
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
    long asked = sim.nowMs;
    return response -> {
      answers.add(new TimedAnswer(response, sim.nowMs));
      sim.checker.onAnswer(sim.nowMs, asked, JOB, response.status(), response.state());
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

  /** Both were answered and the rules are kept; ms from the request until the end was told. */
  private static void assertTold(
      Simulation sim, List<TimedAnswer> told, String state, long askedMs, long withinMs) {
    assertEquals(1, told.size(), "answered once");
    assertEquals(state, told.get(0).response().state());
    long took = told.get(0).atMs() - askedMs;
    assertTrue(took <= withinMs, "told after " + took + " ms");
    assertEquals(List.of(), sim.checker.violations);
  }

  /** A question whose read is made before the cancellation, and answered after. */
  private static List<TimedAnswer> askSlowly(
      Simulation sim, SimulatedController asked, long delayMs) {
    asked.stateDelayMs = delayMs;
    List<TimedAnswer> answers = query(sim, asked);
    sim.runUntil(sim.nowMs + READ_MADE_MS);
    return answers;
  }

  /** The job is cancelled after a slow question's read; both are answered, in an allowed order. */
  private static void assertCancelledAfterSlowQuestion(
      Simulation sim, SimulatedController asked, long delayMs, long withinMs) {
    List<TimedAnswer> slow = askSlowly(sim, asked, delayMs);
    long askedMs = sim.nowMs;
    List<TimedAnswer> cancelled = cancel(sim, sim.controllers.get("n2"));
    sim.runUntil(sim.nowMs + 4_000);
    assertTold(sim, cancelled, "cancelled", askedMs, withinMs);
    assertEquals(1, slow.size());
  }

  @Test
  void noOpenStateAfterACancellationIsTold() {
    for (long seed = 601; seed <= 640; seed++) {
      Simulation sim = runJob(new Simulation(seed), RUN_MS);
      assertCancelledAfterSlowQuestion(
          sim, sim.controllers.get("n1"), delayPastCancellation(seed), ACKNOWLEDGED_WITHIN_MS);
    }
  }

  @Test
  void noOpenStateAfterDoneIsTold() {
    int toldBeforeTheSlowAnswer = 0;
    for (long seed = 641; seed <= 680; seed++) {
      Simulation sim = runJob(new Simulation(seed), 4_000);
      while (sim.checker.remainingTasks(JOB) > 0 && sim.nowMs < 60_000) {
        sim.runUntil(sim.nowMs + 5);
      }
      // the task has ended, which its leader hasn't recorded yet
      List<TimedAnswer> slow = askSlowly(sim, sim.controllers.get("n1"), SLOW_ANSWERS_MS);
      long end = sim.nowMs + 2_000;
      List<TimedAnswer> told = List.of();
      while (sim.nowMs < end
          && (told.isEmpty() || !"done".equals(told.get(0).response().state()))) {
        told = query(sim, sim.controllers.get("n0"));
        sim.runUntil(sim.nowMs + 100);
      }
      toldBeforeTheSlowAnswer += slow.isEmpty() && !told.isEmpty() ? 1 : 0;
      sim.runUntil(sim.nowMs + 3_000);
      assertEquals(List.of(), sim.checker.violations, "seed " + seed);
      assertEquals("done", sim.checker.lastState(JOB));
    }
    assertTrue(toldBeforeTheSlowAnswer > 0, "the order of events took place in no history");
  }

  /** A peer that can't be reached answers by its old read until that is too old. */
  @Test
  void silentPeerIsWaitedForAsLongAsItsReadsLive() {
    for (long seed = 681; seed <= 700; seed++) {
      Simulation sim = runJob(new Simulation(seed), RUN_MS);
      sim.partitionDelayMs = 60_000;
      sim.partitionPeers();
      assertCancelledAfterSlowQuestion(
          sim, sim.controllers.get("n1"), SLOW_ANSWERS_MS, SETTLED_WITHIN_MS);
    }
  }

  /** A peer that stood still answers 503 when it wakes, since its read is too old. */
  @Test
  void pausedPeerTellsNothingOldWhenItWakes() {
    for (long pauseMs : new long[] {500, 900, 1_100, 1_500, 3_000}) {
      Simulation sim = runJob(new Simulation(701), RUN_MS);
      SimulatedController paused = sim.controllers.get("n1");
      List<TimedAnswer> slow = query(sim, paused);
      sim.runUntil(sim.nowMs + 2);
      paused.pauseMs = pauseMs;
      long askedMs = sim.nowMs;
      List<TimedAnswer> cancelled = cancel(sim, sim.controllers.get("n2"));
      sim.runUntil(sim.nowMs + 6_000);
      assertTold(sim, cancelled, "cancelled", askedMs, SETTLED_WITHIN_MS);
      assertEquals(1, slow.size());
    }
  }

  /** A controller of the version before neither sends nor gets these messages. */
  @Test
  void olderVersionIsWaitedForAsLongAsItsReadsLive() {
    for (int version : new int[] {ProgramVersion.UNKNOWN, ProgramVersion.WITH_SERVICES}) {
      for (long seed = 711; seed <= 740; seed++) {
        Simulation sim = new Simulation(seed);
        SimulatedController old = sim.controllers.get("n1");
        old.installedVersion = version;
        old.crash(100);
        runJob(sim, RUN_MS);
        assertCancelledAfterSlowQuestion(sim, old, delayPastCancellation(seed), SETTLED_WITHIN_MS);
      }
    }
  }

  /** Repeated at every controller, the cancellation is confirmed by all, and by none too early. */
  @Test
  void repeatedCancellationIsConfirmedEverywhere() {
    for (long seed = 721; seed <= 740; seed++) {
      Simulation sim = runJob(new Simulation(seed), RUN_MS);
      List<TimedAnswer> slow =
          askSlowly(sim, sim.controllers.get("n1"), delayPastCancellation(seed));
      long askedMs = sim.nowMs;
      List<List<TimedAnswer>> confirmations = new ArrayList<>();
      for (String node : List.of("n2", "n0", "n2")) {
        confirmations.add(cancel(sim, sim.controllers.get(node)));
        sim.runUntil(sim.nowMs + 3);
      }
      sim.runUntil(sim.nowMs + 3_000);
      for (List<TimedAnswer> confirmation : confirmations) {
        assertTold(sim, confirmation, "cancelled", askedMs, SETTLED_WITHIN_MS);
      }
      assertEquals(1, slow.size());
    }
  }

  /** A state service that is slow for all still lets questions be answered. */
  @Test
  void slowStateServiceStillAnswersQuestions() {
    Simulation sim = runJob(new Simulation(751), RUN_MS);
    sim.maxStateDelayMs = 1_400;
    cancel(sim, sim.controllers.get("n2"));
    int told = 0;
    for (int i = 0; i < 15; i++) {
      List<TimedAnswer> answers = query(sim, sim.controllers.get("n" + i % 3));
      sim.runUntil(sim.nowMs + 5_000);
      told += answers.get(0).response().state() == null ? 0 : 1;
    }
    assertTrue(told > 0, "answered within 75 s: " + told);
    assertEquals(List.of(), sim.checker.violations);
  }

  /** An end that has long been known is told at once, to whoever asks. */
  @Test
  void knownEndIsToldAtOnce() {
    Simulation sim = runJob(new Simulation(752), RUN_MS);
    cancel(sim, sim.controllers.get("n2"));
    sim.runUntil(sim.nowMs + 5_000);
    sim.partitionPeers();
    for (SimulatedController node : sim.controllers.values()) {
      List<TimedAnswer> answers = query(sim, node);
      long askedMs = sim.nowMs;
      sim.runUntil(sim.nowMs + 1_000);
      assertEquals(askedMs, answers.get(0).atMs());
    }
  }

  /** Messages about a job that isn't known here change nothing and hold nothing back. */
  @Test
  void messagesAboutUnknownJobsAreHarmless() {
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
    assertEquals(503, answers.get(0).status(), "a peer knows the job: not 404");
    assertEquals("running", querySoon(sim, node).response().state());
    assertEquals(List.of(), sim.checker.violations);
  }

  private static TimedAnswer querySoon(Simulation sim, SimulatedController node) {
    List<TimedAnswer> answers = query(sim, node);
    sim.runUntil(sim.nowMs + 1_000);
    return answers.get(0);
  }
}
