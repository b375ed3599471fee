package mallowstall.core.jobs;

import java.util.List;
import mallowstall.core.kernel.EventClock;
import mallowstall.core.kernel.ResultCode;
import mallowstall.core.kernel.Transaction;
import mallowstall.core.kv.JobBitmaps;
import mallowstall.core.kv.RequestPriority;
import mallowstall.core.kv.StateKeys;
import mallowstall.core.kv.StateStore;
import mallowstall.core.model.JobOutcome;

/**
 * Writes the completion bits of led jobs to the state service, and the outcome of a job once all
 * its tasks have completed. At most one write per job is in flight at a time. Not thread-safe.
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

  /**
   * Writes the job's entry if completions or the job's outcome are not recorded yet, if it is
   * unknown whether an earlier write was applied, or if the completion bitmap needs a layout
   * migration. Does nothing while another write is in flight, before the next write is due, or
   * while the state replica lags. Completions of a cancelled job are discarded.
   */
  void writeEntryIfDue(LedJob ledJob) {
    long now = clock.now();
    boolean allCompleted =
        !ledJob.spec().isService()
            && ledJob.completedCount() == ledJob.spec().tasks()
            && !ledJob.finished();
    boolean layoutOutdated = jobBitmaps.needsLayoutMigration(ledJob.entry());
    if (!ledJob.completed().isDirty()
        && !allCompleted
        && !ledJob.writes().outcomeUnknown()
        && !layoutOutdated) {
      return;
    }
    if (!completionBitsReplicated(ledJob)
        || !ledJob.writes().mayWriteCompletions(allCompleted, now)) {
      return;
    }
    if (ledJob.finished() && ledJob.entry().outcome() == JobOutcome.CANCELLED) {
      ledJob.completed().discardDirty();
      if (!ledJob.writes().outcomeUnknown() && !layoutOutdated) {
        return;
      }
    }
    writeEntry(ledJob, now);
  }

  private void writeEntry(LedJob ledJob, long now) {
    JobBitmaps.Write write =
        jobBitmaps.writeRecordingCompletions(
            ledJob.entry(),
            ledJob.modRevision(),
            ledJob.completed().bits(),
            ledJob.completed().dirtyPieces());
    List<Integer> pieces = ledJob.completed().takeDirty(write.pieces());
    ledJob.writes().beginCompletionWrite(now);
    boolean accepted =
        store.transact(
            RequestPriority.JOB,
            new Transaction(write.conditions(), write.puts(), List.of()),
            reply -> handleWriteResult(ledJob, pieces, reply.code()));
    if (!accepted) {
      ledJob.writes().withdrawCompletionWrite();
      ledJob.completed().markDirty(pieces);
    }
  }

  private void handleWriteResult(LedJob ledJob, List<Integer> pieces, ResultCode code) {
    ledJob.writes().endCompletionWrite(clock.now(), code);
    if (code != ResultCode.OK) {
      ledJob.completed().markDirty(pieces);
    }
    if (code == ResultCode.CONFLICT) {
      refreshEntry(ledJob);
    }
  }

  /**
   * Returns whether the state replica has all completion bits that were recorded in earlier leader
   * epochs. The entry may have been read separately, before the state replica has received those
   * bits. Pieces written without them would clear them.
   */
  private boolean completionBitsReplicated(LedJob ledJob) {
    return JobBitmaps.isInline(ledJob.spec())
        || ledJob.recovery().claimRevision() <= store.revision();
  }

  /**
   * Reads the job's entry after a conflict, because the state replica may lag. The entry is not
   * written until the read is answered.
   */
  void refreshEntry(LedJob ledJob) {
    ledJob.writes().beginRead();
    boolean accepted =
        store.read(
            RequestPriority.JOB,
            StateKeys.job(ledJob.id()),
            reply -> ledJob.writes().endRead(clock.now()));
    if (!accepted) {
      ledJob.writes().withdrawCompletionWrite();
    }
  }
}
