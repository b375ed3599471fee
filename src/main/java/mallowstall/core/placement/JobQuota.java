package mallowstall.core.placement;

/**
 * The part of a team's quota that a job may use when a scheduling pass begins, in tasks of the job.
 *
 * @param limited whether the team has a quota; if false, the job is not limited by the other values
 * @param freeTasks number of tasks that the job's quota reservation covers in addition to those
 *     that are or may be on machines
 * @param obtainableTasks number of tasks that the reservation may cover soon, so that capacity is
 *     reserved for them: the rest of the team's quota and, while a change of the job's reservation
 *     is pending or has an unknown outcome, the unused part of the reservation
 */
record JobQuota(boolean limited, int freeTasks, int obtainableTasks) {
  /** The value for jobs of a team without a quota. */
  static final JobQuota UNLIMITED = new JobQuota(false, Integer.MAX_VALUE, 0);

  /** Returns whether the quota allows no task of the job now or soon, whatever capacity is free. */
  boolean isExhausted() {
    return limited && freeTasks <= 0 && obtainableTasks <= 0;
  }
}
