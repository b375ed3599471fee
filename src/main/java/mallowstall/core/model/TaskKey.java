package mallowstall.core.model;

/**
 * One task of a job, independent of its attempts. Equality is implemented by hand because the
 * generated methods of records use method handles, which the only JIT compiler level in use here
 * doesn't inline.
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
