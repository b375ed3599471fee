package mallowstall.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import mallowstall.core.model.AcceptanceQuery;
import mallowstall.core.model.AcceptanceQueryEnd;
import mallowstall.core.model.AcceptanceReply;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against a 404, 400 or 422 for a job that another controller has already reported as
 * accepted (violation {@code forgotten}), while no process stalls. The rejecting controller can't
 * see the acceptance, or late messages have ended its leases. See {@link LateAnswersTest} for
 * answers that leave late.
 */
class UnconfirmedRefusalsTest {
  private static final String ASKED = ForcedHistory.ASKED;
  private static final String OTHER = ForcedHistory.OTHER;
  private static final String THIRD = ForcedHistory.THIRD;

  private static final long RUN_MS = 300_000;

  /**
   * Maximum time in milliseconds until a submission is accepted right after an acceptance query
   * that got no reply from a peer.
   */
  private static final long ACCEPTED_SOON_MS = 3_000;

  private static ForcedHistory history(long seed) {
    return new ForcedHistory(seed, RUN_MS, LateAnswersTest::writeAnswer);
  }

  /**
   * Without any fault, a controller gets a request as soon as another one has accepted the job, and
   * long after all other requests.
   */
  @ParameterizedTest
  @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "SUBMISSION")
  void acceptedJobIsNotRejectedWithoutFaults(UserRequest request) {
    HistoryTally tally = new HistoryTally();
    for (int i = 0; i < 240; i++) {
      ForcedHistory history = history(24_000 + i);
      history.run(5L * i);
      ForcedHistory.Attempts submission =
          history.requestUntilStateReported(OTHER, UserRequest.SUBMISSION, ForcedHistory.RETRY_MS);
      while (submission.stateReportedMs < 0) {
        history.run(1);
      }
      ForcedHistory.Exchange asked = history.ask(ASKED, request);
      history.run(ForcedHistory.ALL_ANSWERED_MS);
      assertEquals(1, asked.answers, "answered once: " + history.trace);
      tally.add(history, asked.received != null);
    }
    tally.assertNoViolations();
  }

  /** A controller that can't reach the state service must not reject a job accepted elsewhere. */
  @ParameterizedTest
  @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "SUBMISSION")
  void acceptedJobIsNotRejectedWithoutStateService(UserRequest request) {
    HistoryTally tally = new HistoryTally();
    for (int i = 0; i < 100; i++) {
      ForcedHistory history = history(18_000 + i);
      history.controller(ASKED).stateServiceUnreachable = true;
      history.controller(ASKED).watchStalled = true;
      history.run(300);
      ForcedHistory.Attempts submission =
          history.requestUntilStateReported(OTHER, UserRequest.SUBMISSION, ForcedHistory.RETRY_MS);
      history.run(700 + 20L * i);
      ForcedHistory.Exchange asked = history.ask(ASKED, request);
      history.finish(submission);
      assertEquals(1, asked.answers, "answered once: " + history.trace);
      tally.add(history, submission.stateReportedMs <= asked.sentMs);
    }
    tally.assertNoViolations();
  }

  /** A restarted controller must not reject accepted jobs while its state replica is incomplete. */
  @ParameterizedTest
  @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "SUBMISSION")
  void acceptedJobIsNotRejectedByRestartedController(UserRequest request) {
    HistoryTally tally = new HistoryTally();
    for (int i = 0; i < 100; i++) {
      ForcedHistory history = history(19_000 + i);
      history.submitNow();
      history.controller(ASKED).crash(50);
      history.run(51 + 4L * i);
      ForcedHistory.Exchange asked = history.ask(ASKED, request);
      history.run(ForcedHistory.ALL_ANSWERED_MS);
      assertEquals(1, asked.answers, "answered once: " + history.trace);
      tally.add(history, asked.received != null);
    }
    tally.assertNoViolations();
  }

  /**
   * An older acceptance query arrives after a newer one. The end of the older query must not end
   * the lease of the newer one.
   */
  @ParameterizedTest
  @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "SUBMISSION")
  void endOfOlderQueryKeepsNewerLease(UserRequest request) {
    HistoryTally tally = new HistoryTally();
    for (int i = 0; i < 60; i++) {
      ForcedHistory history = history(20_000 + i);
      history.stallWatchAndDelayReplies(0);
      long queryDelayMs = 200 + 10L * i;
      history.messageDelays =
          (from, to, message) -> {
            if (message instanceof AcceptanceQuery query && to.equals(OTHER)) {
              return List.of(query.serial() == 1 ? queryDelayMs : 0L);
            }
            boolean slow = message instanceof AcceptanceReply reply && reply.serial() > 1;
            return List.of(slow && from.equals(THIRD) ? 850L : 0L);
          };
      history.ask(ASKED, UserRequest.QUERY);
      history.run(120);
      tally.add(history, history.askThenSubmit(request, queryDelayMs));
    }
    tally.assertNoViolations();
  }

  /**
   * An acceptance query of a former process, and in every second history the end of that query, is
   * delivered again after the query of the new process.
   */
  @ParameterizedTest
  @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "SUBMISSION")
  void repeatedQueryOfFormerProcessKeepsNewerLease(UserRequest request) {
    HistoryTally tally = new HistoryTally();
    for (int i = 0; i < 60; i++) {
      boolean endIsRepeated = i % 2 == 0;
      ForcedHistory history = history(21_000 + i);
      history.stallWatchAndDelayReplies(0);
      long former = history.controller(ASKED).core.incarnation();
      long askedAgainMs = history.nowMs() + 6_000;
      history.messageDelays =
          (from, to, message) -> {
            long untilAskedMs = askedAgainMs - history.nowMs();
            if (to.equals(OTHER) && message instanceof AcceptanceQuery query) {
              boolean repeated = query.incarnation() == former;
              return repeated ? List.of(0L, untilAskedMs + 60) : List.of(0L);
            }
            if (to.equals(OTHER) && message instanceof AcceptanceQueryEnd end) {
              boolean late = end.incarnation() == former && endIsRepeated;
              return late ? List.of(0L, untilAskedMs + 80) : List.of(0L);
            }
            boolean slow = from.equals(THIRD) && message instanceof AcceptanceReply;
            return List.of(slow && untilAskedMs < 0 ? 850L : 0L);
          };
      history.ask(ASKED, UserRequest.QUERY);
      history.run(300);
      history.controller(ASKED).crash(50);
      history.simulation.runUntil(askedAgainMs);
      history.controller(ASKED).watchStalled = true;
      tally.add(history, history.askThenSubmit(request, 100 + 10L * (i / 2)));
    }
    tally.assertNoViolations();
  }

  /** An acceptance query that is given up for lack of a reply delays submissions only briefly. */
  @ParameterizedTest
  @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "SUBMISSION")
  void queryWithoutReplyDelaysSubmissionOnlyBriefly(UserRequest request) {
    HistoryTally tally = new HistoryTally();
    for (int i = 0; i < 30; i++) {
      ForcedHistory history = history(22_000 + i);
      history.messageDelays =
          (from, to, message) ->
              from.equals(THIRD) && message instanceof AcceptanceReply ? List.of() : List.of(0L);
      ForcedHistory.Exchange asked = history.ask(ASKED, request);
      while (asked.received == null) {
        history.run(10);
      }
      assertEquals(503, asked.received.status());
      ForcedHistory.Attempts submission =
          history.requestUntilStateReported(OTHER, UserRequest.SUBMISSION, ForcedHistory.RETRY_MS);
      history.finish(submission);
      long tookMs = submission.stateReportedMs - submission.startedMs;
      assertTrue(tookMs <= ACCEPTED_SOON_MS, "accepted after " + tookMs + " ms");
      tally.add(history, true);
    }
    tally.assertNoViolations();
  }

  /** Requests about unknown jobs are answered at once, and delay no submission then or later. */
  @ParameterizedTest
  @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "SUBMISSION")
  void unknownJobIsRejectedPromptlyWithoutDelayingSubmissions(UserRequest request) {
    for (int i = 0; i < 20; i++) {
      ForcedHistory history = history(23_000 + i);
      ForcedHistory.Exchange asked = history.ask(ASKED, request);
      history.run(1_000);
      assertEquals(1, asked.answers, "answered once");
      int status = asked.received.status();
      assertTrue(List.of(404, 400, 422).contains(status), "status " + status);
      history.submitNow();
      ForcedHistory.Exchange again = history.ask(ASKED, request);
      history.run(ForcedHistory.ALL_ANSWERED_MS);
      assertTrue(again.received.state() != null, "the answer contains the job's state");
      assertEquals(List.of(), history.simulation.checker.violations);
    }
  }
}
