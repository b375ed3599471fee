package mallowstall.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import mallowstall.core.model.AcceptanceQueryEnd;
import mallowstall.core.model.ApiResponse;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against a 404, 400 or 422 that the network holds after it has left its controller, and
 * that reaches its user after the job was reported as accepted (violation "forgotten"). The network
 * holds it until the user is about to give up, the accepting controller is the one that sent it, or
 * controllers restart meanwhile. Also guards against a user who never closes a connection and
 * thereby delays the submissions of others. See also {@link AnswersOnTheirWayTest}.
 */
class RefusalsInTransitTest {
  private static final String ASKED = ForcedHistory.ASKED;
  private static final String OTHER = ForcedHistory.OTHER;
  private static final String THIRD = ForcedHistory.THIRD;
  private static final long RUN_MS = 300_000;

  /** Time in milliseconds between two attempts of a user in a hurry. */
  private static final long QUICK_RETRY_MS = 50;

  /** Maximum time in milliseconds of a submission that no refusal in transit delays. */
  private static final long ACCEPTED_AT_ONCE_MS = 700;

  /** Time in milliseconds after which every user of a request has stopped waiting. */
  private static final long USER_TIMEOUT_MS = 5_000;

  /** Delivers all answers at once, except refusals, which the network holds. */
  private static final class HoldingNetwork implements ForcedHistory.AnswerWriter {
    private final long holdMs;
    private ForcedHistory history;

    HoldingNetwork(long holdMs) {
      this.holdMs = holdMs;
    }

    @Override
    public void write(StallableProcess process, ApiResponse decided, Consumer<ApiResponse> user) {
      if (!decided.isRefusal()) {
        user.accept(decided);
        return;
      }
      history.trace("a refusal has left its process, and the network holds it");
      history.simulation.schedule(holdMs, () -> user.accept(decided));
    }
  }

  /** Returns a history in which the asked controller does not see the job's entry. */
  private static ForcedHistory history(long seed, long holdMs) {
    HoldingNetwork network = new HoldingNetwork(holdMs);
    ForcedHistory history = new ForcedHistory(seed, RUN_MS, network);
    network.history = history;
    history.stallWatchAndDelayReplies(0);
    return history;
  }

  /** Sends the request to the asked controller and runs until the answer has left it. */
  private static ForcedHistory.Exchange askAndRunUntilDecided(
      ForcedHistory history, UserRequest request) {
    ForcedHistory.Exchange asked = history.ask(ASKED, request);
    while (asked.decidedMs < 0) {
      history.run(5);
    }
    return asked;
  }

  /**
   * Submits the job to the controller until it is accepted, while the answer to the asking user is
   * held.
   *
   * @return whether the asking user received a refusal
   */
  private static boolean submitUntilAccepted(
      ForcedHistory history, ForcedHistory.Exchange asked, String node) {
    history.finish(history.requestUntilStateReported(node, UserRequest.SUBMISSION, QUICK_RETRY_MS));
    return asked.received != null && asked.received.isRefusal();
  }

  /**
   * Restarts controllers while a refusal is held, and submits the job to the first of them.
   *
   * @param seed seed of the first history
   */
  private static HistoryTally restarts(UserRequest request, long seed, List<String> restarted) {
    HistoryTally tally = new HistoryTally();
    long next = seed;
    for (long downMs : new long[] {1, 100, 300}) {
      for (long holdMs = 600; holdMs <= 1_800; holdMs += 100) {
        ForcedHistory history = history(next++, holdMs);
        ForcedHistory.Exchange asked = askAndRunUntilDecided(history, request);
        restarted.forEach(node -> history.controller(node).crash(downMs));
        tally.add(history, submitUntilAccepted(history, asked, restarted.get(0)));
      }
    }
    return tally;
  }

  /** The network holds the refusal for up to as long as the user waits for the answer. */
  @ParameterizedTest
  @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "SUBMISSION")
  void refusalThatArrivesAtTheLastMomentDoesNotFollowAcceptance(UserRequest request) {
    HistoryTally tally = new HistoryTally();
    for (int i = 0; i < 20; i++) {
      long holdMs = request.timeoutMs() * (i + 1) / 20 - 100;
      ForcedHistory history = history(33_500 + i, holdMs);
      ForcedHistory.Exchange asked = askAndRunUntilDecided(history, request);
      tally.add(history, submitUntilAccepted(history, asked, OTHER));
    }
    tally.assertNoViolations();
  }

  /** The controller that sent the refusal accepts the job itself. */
  @ParameterizedTest
  @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "SUBMISSION")
  void refusalDoesNotFollowAcceptanceBySameController(UserRequest request) {
    HistoryTally tally = new HistoryTally();
    for (int i = 0; i < 20; i++) {
      ForcedHistory history = history(34_000 + i, 300 + 50L * i);
      ForcedHistory.Exchange asked = askAndRunUntilDecided(history, request);
      tally.add(history, submitUntilAccepted(history, asked, ASKED));
    }
    tally.assertNoViolations();
  }

  /** The accepting controller has granted a lease for the refusal and has restarted since. */
  @ParameterizedTest
  @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "SUBMISSION")
  void refusalDoesNotFollowAcceptanceByRestartedLeaseGranter(UserRequest request) {
    restarts(request, 35_000, List.of(OTHER)).assertNoViolations();
  }

  /** The controller that sent the refusal restarts and accepts the job. */
  @ParameterizedTest
  @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "SUBMISSION")
  void refusalDoesNotFollowAcceptanceBySuccessorProcess(UserRequest request) {
    restarts(request, 36_000, List.of(ASKED)).assertNoViolations();
  }

  /**
   * Only one controller keeps its process, and it is neither the refusing nor the accepting one.
   */
  @ParameterizedTest
  @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "SUBMISSION")
  void refusalDoesNotFollowAcceptanceAfterTwoRestarts(UserRequest request) {
    restarts(request, 37_000, List.of(OTHER, ASKED)).assertNoViolations();
  }

  /** No process is left that knows of the refusal; see KNOWN-RED.txt. */
  @ParameterizedTest
  @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "SUBMISSION")
  void refusalDoesNotFollowAcceptanceAfterRestartOfAll(UserRequest request) {
    restarts(request, 38_000, List.of(OTHER, ASKED, THIRD)).assertNoViolations();
  }

  /** Another process asks about the same job and ends its query while the refusal is held. */
  @ParameterizedTest
  @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "SUBMISSION")
  void queryOfSuccessorProcessKeepsLeaseOfFormerProcess(UserRequest request) {
    HistoryTally tally = new HistoryTally();
    for (int i = 0; i < 20; i++) {
      ForcedHistory history = history(39_000 + i, 1_000 + 40L * i);
      ForcedHistory.Exchange asked = askAndRunUntilDecided(history, request);
      history.controller(ASKED).crash(1);
      history.run(300);
      SimulatedController successor = history.controller(ASKED);
      successor.enqueueEvent(
          () ->
              successor.core.query(
                  ForcedHistory.JOB, answer -> successor.closeConnection(answer).run()));
      history.run(100);
      tally.add(history, submitUntilAccepted(history, asked, OTHER));
    }
    tally.assertNoViolations();
  }

  private static List<ApiResponse> query(ForcedHistory history, String job, boolean userCloses) {
    List<ApiResponse> answers = new ArrayList<>();
    SimulatedController asked = history.controller(ASKED);
    asked.enqueueEvent(
        () ->
            asked.core.query(
                job,
                answer -> {
                  answers.add(answer);
                  if (userCloses) {
                    asked.closeConnection(answer).run();
                  }
                }));
    return answers;
  }

  /**
   * A user asks about one job and never closes the connection. Another user asks about another job
   * and submits it elsewhere as soon as the 404 has arrived.
   */
  @Test
  void openConnectionDelaysNoSubmissionOfOtherJobs() {
    for (int i = 0; i < 20; i++) {
      ForcedHistory history = history(40_000 + i, 0);
      List<ApiResponse> neverClosed = query(history, "wk-000002", false);
      history.run(10L * i);
      ForcedHistory.Exchange asked = history.ask(ASKED, UserRequest.QUERY);
      history.run(500);
      assertEquals(404, neverClosed.get(0).status());
      assertEquals(404, asked.received.status());
      history.submitNow();
      assertEquals(List.of(), history.simulation.checker.violations);
    }
  }

  /**
   * A user who never closes the connection delays the submission of the job that was asked about.
   */
  @Test
  void openConnectionDelaysSubmissionOfItsJobUntilUsersStopWaiting() {
    ForcedHistory history = history(41_000, 0);
    long askedMs = history.nowMs();
    List<ApiResponse> neverClosed = query(history, ForcedHistory.JOB, false);
    history.run(500);
    assertEquals(404, neverClosed.get(0).status());
    ForcedHistory.Attempts submission =
        history.requestUntilStateReported(OTHER, UserRequest.SUBMISSION, QUICK_RETRY_MS);
    history.finish(submission);
    long acceptedMs = submission.stateReportedMs - askedMs;
    assertTrue(
        acceptedMs > USER_TIMEOUT_MS && acceptedMs < USER_TIMEOUT_MS + ACCEPTED_AT_ONCE_MS,
        "accepted after " + acceptedMs + " ms");
  }

  /**
   * Older versions read only the serial up to which all queries have ended. It must not include the
   * query about a job with a refusal in transit.
   */
  @Test
  void endForOlderVersionsExcludesQueriesOfRefusalsInTransit() {
    ForcedHistory history = history(42_000, 0);
    List<AcceptanceQueryEnd> ends = new ArrayList<>();
    history.messageDelays =
        (from, to, message) -> {
          if (message instanceof AcceptanceQueryEnd end && to.equals(OTHER)) {
            ends.add(end);
          }
          return List.of(0L);
        };
    query(history, "wk-000002", true);
    history.run(250);
    query(history, "wk-000003", false);
    history.run(250);
    query(history, "wk-000004", true);
    history.run(1_000);
    assertEquals(2, ends.size(), ends.toString());
    assertEquals(List.of(), ends.get(0).jobs());
    assertEquals(ends.get(0).serial(), ends.get(1).serial(), "the second query has not ended");
    assertEquals(List.of("wk-000004"), ends.get(1).jobs());
    history.run(USER_TIMEOUT_MS);
    assertEquals(ends.get(1).jobsSerial(), ends.get(2).serial(), "all queries have ended");
    assertEquals(3, ends.size(), ends.toString());
  }
}
