package mallowstall.core.model;

/**
 * A start that its machine leader has rejected: it was never sent to the worker and never will be.
 *
 * @param machine id of the machine
 * @param job id of the job
 * @param task number of the task
 * @param attempt number of the attempt
 * @param reason why, for logs; {@link #JOB_NOT_KNOWN} is compared
 */
public record StartRejection(String machine, String job, int task, long attempt, String reason) {
  /** The machine leader's state replica lags: worth another try soon. */
  public static final String JOB_NOT_KNOWN = "job not known here yet";
}
