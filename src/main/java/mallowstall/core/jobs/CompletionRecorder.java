package mallowstall.core.jobs;

import java.util.List;
import mallowstall.core.kernel.EventClock;
import mallowstall.core.kernel.ResultCode;
import mallowstall.core.kernel.Transaction;
import mallowstall.core.kv.JobBitmaps;
import mallowstall.core.kv.StateStore;
import mallowstall.core.model.JobOutcome;

/**
 * Writes the completion bits of led jobs to the state service, and a job's outcome once all its
 * tasks have completed. One write per job is in flight at a time. Not thread-safe.
 */
final class CompletionRecorder {
  private final EventClock clock;
  private final StateStore store;
  private final JobBitmaps jobBitmaps;

  CompletionRecorder(EventClock clock, StateStore store, JobBitmaps jobBitmaps) {
    this.clock = clock;
    this.store = store;
    this.jobBitmaps = jobBitmaps;
  }

  /** Writes the job's entry if it has unrecorded completions or must be written again. */
  void writeEntryIfDue(LedJob ledJob) {
    long now = clock.now();
    boolean allCompleted =
        !ledJob.spec().isService()
            && ledJob.completedCount() == ledJob.spec().tasks()
            && !ledJob.finished();
    boolean layoutOutdated = jobBitmaps.needsLayoutMigration(ledJob.entry());
    if (!ledJob.hasUnrecordedCompletions()
        && !allCompleted
        && !ledJob.writeOutcomeUnknown()
        && !layoutOutdated) {
      return;
    }
    if (!completionBitsReplicated(ledJob) || !ledJob.mayWriteEntry(allCompleted, now)) {
      return;
    }
    if (ledJob.finished() && ledJob.entry().outcome() == JobOutcome.CANCELLED) {
      ledJob.discardUnrecordedCompletions();
      if (!ledJob.writeOutcomeUnknown() && !layoutOutdated) {
        return;
      }
    }
    writeEntry(ledJob, now);
  }

  private void writeEntry(LedJob ledJob, long now) {
    JobBitmaps.Write write =
        jobBitmaps.writeRecordingCompletions(
            ledJob.entry(), ledJob.modRevision(), ledJob.completed(), ledJob.dirtyPieces());
    List<Integer> pieces = ledJob.beginEntryWrite(write.pieces(), now);
    boolean accepted =
        store.transact(
            StateStore.Urgency.JOB,
            new Transaction(write.conditions(), write.puts(), List.of()),
            reply -> handleWriteResult(ledJob, pieces, reply.code()));
    if (!accepted) {
      ledJob.withdrawEntryWrite(pieces);
    }
  }

  private void handleWriteResult(LedJob ledJob, List<Integer> pieces, ResultCode code) {
    ledJob.endEntryWrite(pieces, clock.now(), code);
    if (code == ResultCode.CONFLICT) {
      refreshEntry(ledJob);
    }
  }

  /**
   * Whether the state replica has all bits recorded in earlier leader epochs. The entry may have
   * been read on its own, and pieces written without those bits would clear them.
   */
  private boolean completionBitsReplicated(LedJob ledJob) {
    return JobBitmaps.isInline(ledJob.spec()) || ledJob.claimRevision() <= store.revision();
  }

  /** Reads the entry after a conflict, since the state replica may lag; no write before that. */
  void refreshEntry(LedJob ledJob) {
    ledJob.beginEntryRead();
    boolean accepted =
        store.read(
            StateStore.Urgency.JOB,
            StateStore.JOB_PREFIX + ledJob.id(),
            reply -> ledJob.endEntryRead(clock.now()));
    if (!accepted) {
      ledJob.withdrawEntryRead();
    }
  }
}
