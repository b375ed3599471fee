package mallowstall.core.model;

/**
 * One task of a job, whatever the attempt. Compared by hand: what the compiler makes for records
 * goes through method handles, which the one compiler level used here doesn't inline.
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
