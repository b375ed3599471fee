package mallowstall.core.model;

/**
 * One task of a job, whatever the attempt. Equality is written by hand: the generated one of
 * records goes through method handles, which the one compiler level used here doesn't inline.
 *
 * @param job id of the job
 * @param task number of the task
 */
public record TaskKey(String job, int task) {
  @Override
  public boolean equals(Object other) {
    return other instanceof TaskKey key && task == key.task && job.equals(key.job);
  }

  @Override
  public int hashCode() {
    return 31 * job.hashCode() + task;
  }
}
