package mallowstall.core;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.function.Consumer;
import mallowstall.core.model.ApiResponse;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against a rejection that reaches its user after the job's end was reported (violation
 * "forgotten"), and against answers that the network delays after they have left their process
 * (violations "forgotten" and "went_back").
 */
class AnswersOnTheirWayTest {
  private static final String ASKED = ForcedHistory.ASKED;
  private static final String OTHER = ForcedHistory.OTHER;

  private static ForcedHistory history(long seed, long runMs) {
    return new ForcedHistory(seed, runMs, LateAnswersTest::writeAnswer);
  }

  /** A lease on the job's absence delays the report "pending", but not "cancelled" or "done". */
  @ParameterizedTest
  @EnumSource(names = {"QUERY", "CANCELLATION", "MALFORMED_SUBMISSION", "IMPOSSIBLE_SUBMISSION"})
  void cancellationIsReportedDuringLease(UserRequest request) {
    HistoryTally tally = new HistoryTally();
    for (int i = 0; i < 10; i++) {
      ForcedHistory history = history(30_000 + i, 300_000);
      history.stallWatchAndDelayReplies(0);
      history.process(ASKED).planStall(StallPoint.AFTER_VALIDITY_CHECK, 1_840);
      ForcedHistory.Exchange asked = history.ask(ASKED, request);
      history.run(130);
      ForcedHistory.Exchange submission = history.ask(OTHER, UserRequest.SUBMISSION);
      history.run(60 + 10 * i);
      ForcedHistory.Attempts cancellation =
          history.requestUntilStateReported(OTHER, UserRequest.CANCELLATION, 1_000);
      history.finish(cancellation);
      assertEquals(1, submission.answers);
      tally.add(history, history.outcomeRecordedMs > 0 && history.outcomeRecordedMs < asked.sentMs);
    }
    tally.assertNoViolations();
  }

  /**
   * The job ends with its last task while a lease on its absence holds, and is reported as done.
   */
  @ParameterizedTest
  @EnumSource(names = {"CANCELLATION", "MALFORMED_SUBMISSION", "IMPOSSIBLE_SUBMISSION"})
  void completionIsReportedDuringLease(UserRequest request) {
    HistoryTally tally = new HistoryTally();
    for (int i = 0; i < 20; i++) {
      ForcedHistory history = history(31_000 + i, 300);
      history.stallWatchAndDelayReplies(0);
      history.process(ASKED).planStall(StallPoint.AFTER_VALIDITY_CHECK, 4_800);
      ForcedHistory.Exchange asked = history.ask(ASKED, request);
      history.run(130);
      history.ask(OTHER, UserRequest.SUBMISSION);
      history.requestUntilStateReported(OTHER, UserRequest.QUERY, 100);
      history.run(8_000);
      tally.add(history, history.outcomeRecordedMs > 0 && history.outcomeRecordedMs < asked.sentMs);
    }
    tally.assertNoViolations();
  }

  /** The rejection has left its process in time, and TCP delivers it late. */
  @ParameterizedTest
  @EnumSource(names = {"QUERY", "CANCELLATION", "MALFORMED_SUBMISSION", "IMPOSSIBLE_SUBMISSION"})
  void refusalThatArrivesLate(UserRequest request) {
    HistoryTally tally = new HistoryTally();
    for (int i = 0; i < 20; i++) {
      ForcedHistory[] holder = new ForcedHistory[1];
      long delayMs = 300 + 50L * i;
      ForcedHistory history =
          new ForcedHistory(
              32_000 + i,
              300_000,
              (process, decided, user) ->
                  LateAnswersTest.writeAnswer(
                      process, decided, delayRejections(holder, user, delayMs)));
      holder[0] = history;
      history.stallWatchAndDelayReplies(0);
      tally.add(history, history.askThenSubmit(request, 130));
    }
    tally.assertNoViolations();
  }

  private static Consumer<ApiResponse> delayRejections(
      ForcedHistory[] holder, Consumer<ApiResponse> user, long delayMs) {
    return response -> {
      boolean refusal = response.status() >= 400 && response.status() < 500;
      if (refusal) {
        holder[0].trace("a rejection has left its process, and its delivery is delayed");
        holder[0].simulation.schedule(delayMs, () -> user.accept(response));
      } else {
        user.accept(response);
      }
    };
  }

  /**
   * The network alone delays an answer with an open state, which arrives after its process has
   * acknowledged the job's end.
   */
  @Test
  void openStateThatArrivesLate() {
    HistoryTally tally = new HistoryTally();
    for (int i = 0; i < 20; i++) {
      ForcedHistory[] holder = new ForcedHistory[1];
      long delayMs = 300 + 50L * i;
      ForcedHistory history =
          new ForcedHistory(
              33_000 + i,
              300_000,
              (process, decided, user) ->
                  LateAnswersTest.writeAnswer(
                      process,
                      decided,
                      response -> {
                        if (holder[0].nowMs() > 14_000
                            && List.of("pending", "running")
                                .contains(String.valueOf(response.state()))) {
                          holder[0].trace(
                              "an open state has left its process, and its delivery is delayed");
                          holder[0].simulation.schedule(delayMs, () -> user.accept(response));
                        } else {
                          user.accept(response);
                        }
                      }));
      holder[0] = history;
      history.requestUntilStateReported(OTHER, UserRequest.SUBMISSION, 1_000);
      history.run(6_000);
      tally.add(history, history.askThenCancel(UserRequest.QUERY, 60));
    }
    tally.assertNoViolations();
  }
}
