package mallowstall.core.jobs;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import mallowstall.Constants;
import mallowstall.core.kernel.ResultCode;
import org.junit.jupiter.api.Test;

/** Tests when a job leader may write the job's entry, for completions and for quota. */
class JobWritesTest {
  private static final long NOW_MS = 1_000_000;

  private final JobWrites writes = new JobWrites();

  @Test
  void oneWriteIsInFlightAtATime() {
    assertTrue(writes.mayWriteCompletions(false, NOW_MS));
    assertTrue(writes.mayWriteQuota(NOW_MS));
    writes.beginCompletionWrite(NOW_MS);
    assertFalse(writes.mayWriteCompletions(true, NOW_MS));
    assertFalse(writes.mayWriteQuota(NOW_MS));
    writes.endCompletionWrite(NOW_MS, ResultCode.OK);
    writes.beginQuotaWrite();
    assertTrue(writes.quotaInFlight());
    assertFalse(writes.mayWriteCompletions(true, NOW_MS));
    writes.withdrawQuotaWrite();
    assertTrue(writes.mayWriteCompletions(true, NOW_MS));
  }

  @Test
  void completionWritesKeepMinimumIntervalUntilAllTasksAreCompleted() {
    writes.beginCompletionWrite(NOW_MS);
    writes.endCompletionWrite(NOW_MS, ResultCode.OK);
    long intervalMs = JobWrites.JOB_WRITE_INTERVAL_MIN_MS;
    assertFalse(writes.mayWriteCompletions(false, NOW_MS + intervalMs - 1));
    assertTrue(writes.mayWriteCompletions(true, NOW_MS + intervalMs - 1));
    assertTrue(writes.mayWriteCompletions(false, NOW_MS + intervalMs));
  }

  @Test
  void unknownOutcomeBlocksQuotaWritesUntilNewerEntryIsRead() {
    writes.beginCompletionWrite(NOW_MS);
    writes.endCompletionWrite(NOW_MS, ResultCode.OUTCOME_UNKNOWN);
    assertTrue(writes.outcomeUnknown());
    assertFalse(writes.mayWriteQuota(NOW_MS));
    writes.resolveOutcome();
    assertFalse(writes.outcomeUnknown());
    assertTrue(writes.mayWriteQuota(NOW_MS));
  }

  @Test
  void entryIsNotWrittenWhileItIsBeingRead() {
    writes.beginRead();
    assertFalse(writes.mayWriteCompletions(true, NOW_MS));
    assertFalse(writes.mayWriteQuota(NOW_MS));
    writes.endRead(NOW_MS);
    assertTrue(writes.mayWriteQuota(NOW_MS));
  }

  @Test
  void invalidButNotRejectedQuotaWriteDelaysJob() {
    writes.beginQuotaWrite();
    writes.endQuotaWrite(NOW_MS, ResultCode.REJECTED, true);
    assertTrue(writes.mayWriteQuota(NOW_MS));
    writes.beginQuotaWrite();
    writes.endQuotaWrite(NOW_MS, ResultCode.INVALID, true);
    assertFalse(writes.mayWriteQuota(NOW_MS));
    assertTrue(writes.mayWriteQuota(NOW_MS + Constants.STATE_RETRY_MS));
  }

  /** Guards against jobs that wait, and then ask together again, after a refusal in common. */
  @Test
  void quotaWriteRefusedTogetherWithOthersIsRepeatedAloneAtOnce() {
    writes.beginQuotaWrite();
    writes.endQuotaWrite(NOW_MS, ResultCode.INVALID, false);
    assertTrue(writes.quotaRefused());
    assertTrue(writes.mayWriteQuota(NOW_MS));
    writes.beginQuotaWrite();
    writes.endQuotaWrite(NOW_MS, ResultCode.CONFLICT, true);
    assertTrue(writes.quotaRefused(), "a conflict doesn't show that the entry is accepted");
    writes.beginQuotaWrite();
    writes.endQuotaWrite(NOW_MS, ResultCode.OK, true);
    assertFalse(writes.quotaRefused());
  }
}
