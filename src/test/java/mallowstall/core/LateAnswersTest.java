package mallowstall.core;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.function.Consumer;
import mallowstall.core.model.ApiResponse;
import mallowstall.core.model.OutcomeAnnouncement;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against an answer that was right when it was decided on and leaves its process too late:
 * after another controller has told that the job is accepted (forgotten) or over (went_back).
 */
class LateAnswersTest {
  private static final String ASKED = ForcedHistory.ASKED;
  private static final String OTHER = ForcedHistory.OTHER;

  private static final long[] REPLY_DELAYS_MS = {600, 700, 800, 900, 970, 985};
  private static final long[] READ_DELAYS_MS = {700, 750, 800, 850, 900, 920};
  private static final long[] STALLS_MS = {100, 200, 400, 600, 800};
  private static final long[] LONG_STALLS_MS = {1_000, 1_200, 1_500, 1_800, 2_500, 4_000, 6_000};
  private static final long[] RESTARTS_MS = {20, 100, 300, 600, 900};

  /** ms. Between a question and the first submission; the question's read has been made by then. */
  private static final long READ_MADE_MS = 130;

  /** ms. Between a question and the cancellation. */
  private static final long CANCELLED_AFTER_MS = 30;

  private static final long RUN_MS = 300_000;

  /** The write of an answer to its user, and the only way out for answers. */
  static void write(StallableProcess process, ApiResponse decided, Consumer<ApiResponse> user) {
    process.reach(StallPoint.BEFORE_WRITE);
    process.leave(
        () -> {
          ApiResponse checked = process.checkedAtWrite(decided);
          process.reach(StallPoint.AFTER_VALIDITY_CHECK);
          process.leave(() -> user.accept(checked));
        });
  }

  private static ForcedHistory history(long seed) {
    return new ForcedHistory(seed, RUN_MS, LateAnswersTest::write);
  }

  private static ForcedHistory lateReplies(long seed, long replyDelayMs) {
    ForcedHistory history = history(seed);
    history.delayLeases(replyDelayMs);
    return history;
  }

  /** The job was accepted, controllers hear nothing of each other, and one's reads come late. */
  private static ForcedHistory acceptedThenCutOff(long seed, long readDelayMs) {
    ForcedHistory history = history(seed);
    history.submitNow();
    history.simulation.partitionDelayMs = 60_000;
    history.simulation.partitionPeers();
    history.controller(ASKED).watchStalled = true;
    history.controller(ASKED).stateDelayMs = readDelayMs;
    return history;
  }

  private static HistoryTally refusalsWithStall(
      UserRequest request, String stalled, StallPoint point) {
    HistoryTally tally = new HistoryTally();
    long seed = 10_000;
    for (long replyDelayMs : REPLY_DELAYS_MS) {
      for (long stallMs : STALLS_MS) {
        for (long submitAfterMs = READ_MADE_MS; submitAfterMs < 930; submitAfterMs += 100) {
          ForcedHistory history = lateReplies(seed++, replyDelayMs);
          history.process(stalled).planStall(point, stallMs);
          tally.add(history, history.askThenSubmit(request, submitAfterMs));
        }
      }
    }
    return tally;
  }

  /** A 404, 400 or 422 is decided on in time and leaves after another controller's 201. */
  @ParameterizedTest
  @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "SUBMISSION")
  void refusalThatLeavesLate(UserRequest request) {
    refusalsWithStall(request, ASKED, StallPoint.BEFORE_WRITE).assertNoneBroken();
  }

  /** As before; the process stands still after the last look at the clock that it can take. */
  @ParameterizedTest
  @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "SUBMISSION")
  void refusalThatLeavesLateAfterItsLastCheck(UserRequest request) {
    refusalsWithStall(request, ASKED, StallPoint.AFTER_VALIDITY_CHECK).assertNoneBroken();
  }

  /** A refusal rests on a read that leaves late, after the acceptance at another controller. */
  @ParameterizedTest
  @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "SUBMISSION")
  void refusalWhoseReadLeavesLate(UserRequest request) {
    refusalsWithStall(request, ASKED, StallPoint.BEFORE_READ_SENT).assertNoneBroken();
  }

  /** A refusal rests on a read whose answer is handled in time, and the peers are asked late. */
  @ParameterizedTest
  @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "SUBMISSION")
  void refusalWhoseReadIsHandledLate(UserRequest request) {
    refusalsWithStall(request, ASKED, StallPoint.AFTER_READ_ANSWERED).assertNoneBroken();
  }

  /** A lease that its granter takes for over while the asker still answers by it. */
  @ParameterizedTest
  @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "SUBMISSION")
  void leaseOfAGranterThatStandsStill(UserRequest request) {
    refusalsWithStall(request, OTHER, StallPoint.BEFORE_GRANT_SENT).assertNoneBroken();
    refusalsWithStall(request, OTHER, StallPoint.AFTER_GRANT_SENT).assertNoneBroken();
  }

  /** As the first, for as long as users of submissions and cancellations wait, and longer. */
  @ParameterizedTest
  @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "SUBMISSION")
  void refusalThatLeavesSecondsLate(UserRequest request) {
    HistoryTally tally = new HistoryTally();
    long seed = 11_000;
    for (StallPoint point : List.of(StallPoint.BEFORE_WRITE, StallPoint.AFTER_VALIDITY_CHECK)) {
      for (long stallMs : LONG_STALLS_MS) {
        for (long submitAfterMs = READ_MADE_MS; submitAfterMs < 930; submitAfterMs += 200) {
          ForcedHistory history = lateReplies(seed++, 0);
          history.process(ASKED).planStall(point, stallMs);
          tally.add(history, history.askThenSubmit(request, submitAfterMs));
        }
      }
    }
    tally.assertNoneBroken();
  }

  private static HistoryTally refusalsWithRestartedGranter(UserRequest request, long[] stallsMs) {
    HistoryTally tally = new HistoryTally();
    long seed = 12_000;
    for (long restartMs : RESTARTS_MS) {
      for (long stallMs : stallsMs) {
        for (long replyDelayMs : REPLY_DELAYS_MS) {
          ForcedHistory history = lateReplies(seed++, replyDelayMs);
          history.process(ASKED).planStall(StallPoint.BEFORE_WRITE, stallMs);
          ForcedHistory.Exchange asked = history.ask(ASKED, request);
          history.run(40);
          history.controller(OTHER).crash(restartMs);
          ForcedHistory.Attempts submission =
              history.askUntilTold(OTHER, UserRequest.SUBMISSION, 50);
          history.finish(submission);
          assertEquals(1, asked.answers, "answered once: " + history.trace);
          tally.add(history, history.recordedMs > 0 && asked.leftMs > history.recordedMs);
        }
      }
    }
    return tally;
  }

  /** A lease dies with the process that has granted it, whose successor accepts the job. */
  @ParameterizedTest
  @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "SUBMISSION")
  void leaseOfAGranterThatRestarts(UserRequest request) {
    refusalsWithRestartedGranter(request, new long[] {0}).assertNoneBroken();
  }

  /** As before, while the refusal is still on its way out. */
  @ParameterizedTest
  @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "SUBMISSION")
  void refusalThatLeavesLateAfterItsGranterRestarts(UserRequest request) {
    refusalsWithRestartedGranter(request, STALLS_MS).assertNoneBroken();
  }

  private static HistoryTally openStatesWithStall(UserRequest request, StallPoint point) {
    HistoryTally tally = new HistoryTally();
    long seed = 13_000;
    for (long readDelayMs : READ_DELAYS_MS) {
      for (long stallMs : STALLS_MS) {
        ForcedHistory history = acceptedThenCutOff(seed++, readDelayMs);
        history.process(ASKED).planStall(point, stallMs);
        tally.add(history, history.askThenCancel(request, CANCELLED_AFTER_MS));
      }
    }
    return tally;
  }

  /** An open state is decided on in time and leaves after another controller has told the end. */
  @ParameterizedTest
  @EnumSource
  void openStateThatLeavesLate(UserRequest request) {
    openStatesWithStall(request, StallPoint.BEFORE_WRITE).assertNoneBroken();
  }

  /** As before; the process stands still after the last look at the clock that it can take. */
  @ParameterizedTest
  @EnumSource
  void openStateThatLeavesLateAfterItsLastCheck(UserRequest request) {
    openStatesWithStall(request, StallPoint.AFTER_VALIDITY_CHECK).assertNoneBroken();
  }

  /** An open state rests on a read that leaves late, or whose answer is handled just in time. */
  @ParameterizedTest
  @EnumSource
  void openStateWhoseReadIsLate(UserRequest request) {
    openStatesWithStall(request, StallPoint.BEFORE_READ_SENT).assertNoneBroken();
    openStatesWithStall(request, StallPoint.AFTER_READ_ANSWERED).assertNoneBroken();
  }

  private static HistoryTally openStatesWithLongStall(UserRequest request, StallPoint point) {
    HistoryTally tally = new HistoryTally();
    long seed = 15_000;
    for (long stallMs : LONG_STALLS_MS) {
      for (int i = 0; i < 4; i++) {
        ForcedHistory history = history(seed++);
        history.submitNow();
        history.controller(ASKED).watchStalled = true;
        history.process(ASKED).planStall(point, stallMs);
        tally.add(history, history.askThenCancel(request, CANCELLED_AFTER_MS));
      }
    }
    return tally;
  }

  /** A peer in reach that stands still acknowledges no end, which is told without it. */
  @ParameterizedTest
  @EnumSource
  void openStateThatLeavesSecondsLate(UserRequest request) {
    openStatesWithLongStall(request, StallPoint.BEFORE_WRITE).assertNoneBroken();
  }

  /** As before; the process stands still after the last look at the clock that it can take. */
  @ParameterizedTest
  @EnumSource
  void openStateThatLeavesSecondsLateAfterItsLastCheck(UserRequest request) {
    openStatesWithLongStall(request, StallPoint.AFTER_VALIDITY_CHECK).assertNoneBroken();
  }

  /** A submission is recorded, and told only after another controller has told the job's end. */
  @Test
  void acceptanceThatLeavesLate() {
    HistoryTally tally = new HistoryTally();
    long seed = 16_000;
    for (long answerDelayMs : READ_DELAYS_MS) {
      for (long stallMs : STALLS_MS) {
        ForcedHistory history = history(seed++);
        history.simulation.partitionDelayMs = 60_000;
        history.simulation.partitionPeers();
        history.controller(ASKED).watchStalled = true;
        history.controller(ASKED).stateDelayMs = answerDelayMs;
        history.process(ASKED).planStall(StallPoint.BEFORE_WRITE, stallMs);
        tally.add(history, history.askThenCancel(UserRequest.SUBMISSION, CANCELLED_AFTER_MS));
      }
    }
    tally.assertNoneBroken();
  }

  /** An open state leaves after another controller has told that the last task is done. */
  @Test
  void openStateThatLeavesAfterDoneIsTold() {
    HistoryTally tally = new HistoryTally();
    for (int i = 0; i < 60; i++) {
      ForcedHistory history = new ForcedHistory(17_000 + i, 4_000, LateAnswersTest::write);
      history.submitNow();
      while (history.simulation.checker.remainingTasks(ForcedHistory.JOB) > 0) {
        history.run(5);
      }
      history.messageDelays =
          (from, to, message) -> message instanceof OutcomeAnnouncement ? List.of() : List.of(0L);
      history.controller(ASKED).watchStalled = true;
      history.controller(ASKED).stateDelayMs = 900;
      history.process(ASKED).planStall(StallPoint.BEFORE_WRITE, 400 + 50 * (i % 12));
      history.run(20L * (i / 6));
      ForcedHistory.Exchange asked = history.ask(ASKED, UserRequest.QUERY);
      for (int poll = 0; poll < 40; poll++) {
        history.ask(OTHER, UserRequest.QUERY);
        history.run(50);
      }
      history.run(ForcedHistory.ALL_ANSWERED_MS);
      assertEquals(1, asked.answers, "answered once: " + history.trace);
      boolean endsMeanwhile =
          history.endRecordedMs > asked.askedMs && asked.leftMs > history.endRecordedMs;
      tally.add(history, endsMeanwhile);
    }
    tally.assertNoneBroken();
  }
}
