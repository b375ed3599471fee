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
 * No controller answers a user with something older than it knows itself when it sends the answer,
 * whatever the read or the write on which the answer rests had shown (docs/questions.md, 9).
 *
 * <p>What happens: with a state service that answers slowly, a question is answered 404, or a
 * repeated submission 400 or 422, although the controller's own replica shows the accepted job; and
 * a submission is answered as pending although the replica shows it cancelled. Why: only answers
 * that rest on an entry that was read were compared with the replica; those that rest on a missing
 * entry or on the controller's own write were not. What showed it: here the replica is looked at in
 * the moment of each answer.
 */
class AnswerFreshnessTest {
  private static final String JOB = "wk-000001";
  private static final int HISTORIES = 400;

  /** Slow enough for a watch to overtake a read, below the age at which a read counts. */
  private static final int MAX_STATE_DELAY_MS = 900;

  /** An answer, and what the controller's replica showed of the job when it was sent. */
  private record Answer(ApiResponse response, JobEntry known) {
    boolean isOlderThanKnown() {
      boolean accepted = response.state() != null;
      boolean refused = response.status() != 503 && !accepted;
      boolean over = known != null && known.isTerminal();
      boolean calledOpen = "pending".equals(response.state()) || "running".equals(response.state());
      return (known != null && refused) || (over && calledOpen);
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

  /** Requests at three controllers around the moment at which the job is accepted. */
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
  void answersAreNotOlderThanWhatTheControllerKnows() {
    List<String> older = new ArrayList<>();
    int told = 0;
    int unknown = 0;
    for (long seed = 801; seed <= 800 + HISTORIES; seed++) {
      for (Answer answer : answersAroundAcceptance(seed)) {
        told += answer.response().state() == null ? 0 : 1;
        unknown += answer.response().status() == 404 ? 1 : 0;
        if (answer.isOlderThanKnown()) {
          older.add("seed " + seed + ": " + answer.response());
        }
      }
    }
    assertEquals(List.of(), older);
    assertTrue(told > HISTORIES, "answers with a state: " + told);
    assertTrue(unknown > 0, "questions before the acceptance are answered 404");
  }
}
