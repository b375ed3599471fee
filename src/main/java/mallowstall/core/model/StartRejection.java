package mallowstall.core.model;

/** The answer "not possible": this start was never passed on and never will be. */
public record StartRejection(String machine, String job, int task, long attempt, String reason) {
  /** The reason of an owner whose mirror lags: worth another try soon. */
  public static final String JOB_NOT_KNOWN = "job not known here yet";
}
