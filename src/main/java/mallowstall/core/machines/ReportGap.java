package mallowstall.core.machines;

import mallowstall.core.model.RunObservation;

/**
 * Why a machine's last report doesn't tell whether tasks of a job run, as one entry of a log line.
 *
 * @param machine id of the machine
 * @param reason why the report doesn't count
 * @param reportAgeMs age of the last report in milliseconds, or -1 if its age isn't known
 * @param silentMs time in milliseconds since the last heartbeat
 * @param unansweredMs time in milliseconds since the worker was last answered by this controller
 * @param token the machine's fencing token
 * @param tokenAcknowledged whether the worker has shown that token
 */
record ReportGap(
    String machine,
    Reason reason,
    long reportAgeMs,
    long silentMs,
    long unansweredMs,
    long token,
    boolean tokenAcknowledged) {
  /** The reasons for which a report doesn't count. */
  enum Reason {
    /** The worker has neither sent a heartbeat lately nor answered the last request. */
    NOT_HEARD,
    /** Heartbeats arrive, but the worker hasn't answered the last request for a report. */
    NOT_ANSWERED,
    /** The worker hasn't been asked. */
    NOT_ASKED,
    /** The last report is older than the last end of a task of the job. */
    BEFORE_LAST_END
  }

  private static final long AGE_UNKNOWN = -1;

  static ReportGap of(ManagedMachine machine, RunObservation observed, long now) {
    long ageMs = now - observed.atMs();
    return new ReportGap(
        machine.id(),
        reason(machine, observed, now),
        ageMs > now ? AGE_UNKNOWN : ageMs,
        now - machine.lastHeartbeatMs(),
        now - machine.lastResponseMs(),
        machine.fencingToken(),
        machine.tokenAcknowledged());
  }

  private static Reason reason(ManagedMachine machine, RunObservation observed, long now) {
    boolean isUnanswered =
        machine.inspection().isInProgress()
            || machine.inspection().failedAtMs() > machine.lastHeartbeatMs();
    if (isUnanswered) {
      boolean isSilent = now - machine.lastHeartbeatMs() > ManagedMachines.UNRESPONSIVE_AFTER_MS;
      return isSilent ? Reason.NOT_HEARD : Reason.NOT_ANSWERED;
    }
    return observed.atMs() < observed.sinceMs() ? Reason.BEFORE_LAST_END : Reason.NOT_ASKED;
  }
}
