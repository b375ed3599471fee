package mallowstall.core;

import static mallowstall.core.model.JobSpecBuilder.batchJob;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import mallowstall.core.model.ApiResponse;
import mallowstall.core.model.JobEntry;
import mallowstall.core.model.JobSpec;
import org.junit.jupiter.api.Test;

/**
 * Guards against an answer to a user that is staler than the controller's state replica at the time
 * of the answer, whatever the read or write showed on which the answer rests (docs/questions.md,
 * 9).
 *
 * <p>The fault: while the state service responds slowly, a query is answered 404, or a repeated
 * submission 400 or 422, although the controller's own replica shows the accepted job. A submission
 * is answered as pending although the replica shows the job as cancelled. The cause: only answers
 * that rest on an entry that was read were compared with the replica; answers that rest on a
 * missing entry or on the controller's own write were not. The test compares each answer with the
 * replica at the time of the answer.
 */
class AnswerFreshnessTest {
  private static final String JOB = "wk-000001";
  private static final int HISTORIES = 400;

  /**
   * Maximum delay of a state service response in milliseconds. It is long enough for a watch event
   * to reach a controller before the response to an earlier read, and shorter than the time for
   * which a read counts.
   */
  private static final int MAX_STATE_DELAY_MS = 900;

  /**
   * An answer to a user, and the job's entry in the controller's replica at the time of the answer,
   * or null if the replica had none.
   */
  private record Answer(ApiResponse response, JobEntry known) {
    boolean isOlderThanReplica() {
      boolean accepted = response.state() != null;
      boolean rejected = response.status() != 503 && !accepted;
      boolean ended = known != null && known.isTerminal();
      boolean reportedOpen =
          "pending".equals(response.state()) || "running".equals(response.state());
      return (known != null && rejected) || (ended && reportedOpen);
    }
  }

  private static JobSpec job() {
    return batchJob(JOB).tasks(1).cpus(1).build();
  }

  private static void ask(
      SimulatedController node,
      List<Answer> answers,
      BiConsumer<ControllerCore, Consumer<ApiResponse>> request) {
    node.enqueueEvent(
        () ->
            request.accept(
                node.core,
                response -> answers.add(new Answer(response, node.core.store().job(JOB)))));
  }

  /** Sends requests to three controllers around the time of the job's acceptance. */
  private static List<Answer> answersAroundAcceptance(long seed) {
    Simulation sim = new Simulation(seed);
    sim.runUntil(8_000);
    sim.checker.onSubmitted(job());
    sim.maxStateDelayMs = MAX_STATE_DELAY_MS;
    List<Answer> answers = new ArrayList<>();
    SimulatedController accepting = sim.controllers.get("n0");
    SimulatedController asked = sim.controllers.get("n1");
    SimulatedController rejecting = sim.controllers.get("n2");
    sim.schedule(
        sim.random.nextInt(MAX_STATE_DELAY_MS),
        () -> ask(accepting, answers, (core, reply) -> core.submit(job(), reply)));
    for (int i = 0; i < 3; i++) {
      sim.schedule(
          sim.random.nextInt(MAX_STATE_DELAY_MS),
          () -> ask(asked, answers, (core, reply) -> core.query(JOB, reply)));
      sim.schedule(
          sim.random.nextInt(MAX_STATE_DELAY_MS),
          () ->
              ask(
                  rejecting,
                  answers,
                  (core, reply) -> core.rejectSubmission(JOB, "a field is missing", reply)));
      sim.schedule(
          sim.random.nextInt(MAX_STATE_DELAY_MS),
          () -> ask(asked, answers, (core, reply) -> core.cancel(JOB, reply)));
    }
    sim.checker.onCancelRequested(JOB);
    sim.runUntil(sim.nowMs + 10_000);
    return answers;
  }

  @Test
  void answersAreNotOlderThanStateReplica() {
    List<String> staleAnswers = new ArrayList<>();
    int answersWithState = 0;
    int notFoundAnswers = 0;
    for (long seed = 801; seed <= 800 + HISTORIES; seed++) {
      for (Answer answer : answersAroundAcceptance(seed)) {
        answersWithState += answer.response().state() == null ? 0 : 1;
        notFoundAnswers += answer.response().status() == 404 ? 1 : 0;
        if (answer.isOlderThanReplica()) {
          staleAnswers.add("seed " + seed + ": " + answer.response());
        }
      }
    }
    assertEquals(List.of(), staleAnswers);
    assertTrue(answersWithState > HISTORIES, "answers with a state: " + answersWithState);
    assertTrue(notFoundAnswers > 0, "queries before the acceptance are answered 404");
  }
}
