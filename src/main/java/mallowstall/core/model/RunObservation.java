package mallowstall.core.model;

/**
 * What was observed about the running tasks of a job.
 *
 * @param state what was observed
 * @param runningTasks number of tasks that were observed running
 * @param sinceMs steady time in milliseconds from which on no task was running; equal to {@code
 *     atMs} if tasks were running
 * @param atMs last steady time in milliseconds at which the observation was certainly true;
 *     meaningless if nothing was observed
 * @param unknownCause why nothing was observed; null if something was
 */
public record RunObservation(
    RunState state, int runningTasks, long sinceMs, long atMs, UnknownCause unknownCause) {
  /** Returns that nothing is known for this cause. */
  public static RunObservation unknown(UnknownCause cause) {
    return new RunObservation(RunState.UNKNOWN, 0, 0, 0, cause);
  }

  /** Returns the observation that no task was running between these two times. */
  public static RunObservation idle(long sinceMs, long atMs) {
    return new RunObservation(RunState.IDLE, 0, sinceMs, atMs, null);
  }

  /** Returns the observation that this many tasks, at least one, were running at this time. */
  public static RunObservation running(int runningTasks, long atMs) {
    return new RunObservation(RunState.RUNNING, runningTasks, atMs, atMs, null);
  }

  /** Returns whether at least one task was running. */
  public boolean isRunning() {
    return state == RunState.RUNNING;
  }

  /** Returns whether no task was running. */
  public boolean isIdle() {
    return state == RunState.IDLE;
  }

  /** Returns whether the state was observed at all. */
  public boolean isKnown() {
    return state != RunState.UNKNOWN;
  }

  /**
   * Combines two observations that no task was running on some machines each. The result is unknown
   * if there is no moment at which both were true: a task may have ended on one machine after
   * another one began elsewhere.
   */
  public RunObservation andIdle(RunObservation other) {
    if (!isIdle() || !other.isIdle()) {
      return isKnown() ? unknown(other.causeOrNoCommonMoment()) : this;
    }
    long commonSinceMs = Math.max(sinceMs, other.sinceMs);
    long commonAtMs = Math.min(atMs, other.atMs);
    return commonSinceMs <= commonAtMs
        ? idle(commonSinceMs, commonAtMs)
        : unknown(UnknownCause.NO_COMMON_MOMENT);
  }

  private UnknownCause causeOrNoCommonMoment() {
    return unknownCause == null ? UnknownCause.NO_COMMON_MOMENT : unknownCause;
  }
}
