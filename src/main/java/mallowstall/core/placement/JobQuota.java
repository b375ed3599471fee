package mallowstall.core.placement;

/**
 * What a job's team quota allows when a scheduling pass begins, in tasks of the job.
 *
 * @param limited whether the team has a quota; without one neither number below matters
 * @param freeTasks tasks that the job's reservation covers beyond those that may be on machines
 * @param obtainableTasks tasks that it may soon cover, for which capacity is kept: what the quota
 *     has left, and a reservation of which a change is under way
 */
record JobQuota(boolean limited, int freeTasks, int obtainableTasks) {
  /** The team has no quota. */
  static final JobQuota UNLIMITED = new JobQuota(false, Integer.MAX_VALUE, 0);

  /** Whether no task of the job can be started now, wherever there is room, nor soon. */
  boolean isExhausted() {
    return limited && freeTasks <= 0 && obtainableTasks <= 0;
  }
}
