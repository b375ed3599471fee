package mallowstall.core.jobs;

/**
 * How far this controller has found the attempts of earlier leaders of a job that it claimed.
 * Mutable; not thread-safe.
 */
final class ClaimRecovery {
  private final long claimRevision;
  private final long statusUpdatesBeforeClaim;
  private boolean complete;

  /** Which machines are still waited for; null before the wait has begun and after its end. */
  private MachineCoverage.Progress progress;

  ClaimRecovery(long claimRevision, long statusUpdatesBeforeClaim, boolean complete) {
    this.claimRevision = claimRevision;
    this.statusUpdatesBeforeClaim = statusUpdatesBeforeClaim;
    this.complete = complete;
  }

  /** Returns the revision at which this controller became the job's leader. */
  long claimRevision() {
    return claimRevision;
  }

  /** Returns the number of status updates received before this controller found that it leads. */
  long statusUpdatesBeforeClaim() {
    return statusUpdatesBeforeClaim;
  }

  /** Records that machines are waited for from now on. */
  void begin(MachineCoverage.Progress newProgress) {
    progress = newProgress;
  }

  /** Returns which machines are still waited for, or null if none are. */
  MachineCoverage.Progress progress() {
    return progress;
  }

  /** Records that all attempts of earlier leader epochs are known. */
  void complete() {
    complete = true;
    progress = null;
  }

  /** Returns whether all attempts of earlier leader epochs are known. */
  boolean isComplete() {
    return complete;
  }
}
