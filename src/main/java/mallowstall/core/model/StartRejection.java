package mallowstall.core.model;

/**
 * A start request that its machine leader has rejected. The start was never sent to the worker and
 * never will be.
 *
 * @param machine id of the machine
 * @param job id of the job
 * @param task number of the task
 * @param attempt number of the attempt
 * @param reason reason for the logs; only {@link #JOB_NOT_KNOWN} is compared
 */
public record StartRejection(String machine, String job, int task, long attempt, String reason) {
  /** The reason if the machine leader's state replica lags. The start can be retried soon. */
  public static final String JOB_NOT_KNOWN = "job not known here yet";
}
