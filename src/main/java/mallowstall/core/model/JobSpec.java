package mallowstall.core.model;

import java.util.List;
import mallowstall.Constants;

/**
 * A job as specified by its user (protocol, Users). Amounts are per task.
 *
 * @param id id of the job, chosen by the user
 * @param jobClass class of the job, which selects the placement policy
 * @param team team whose quota the job uses
 * @param priority priority relative to other jobs
 * @param tasks number of tasks
 * @param cpus number of processors
 * @param gpus number of GPUs
 * @param memoryGb memory in gigabytes
 * @param image name of the image
 * @param imageGb size of the image in the cache of a machine, in gigabytes
 * @param machineTypes machine types that are allowed, or null if all are
 * @param zone zone that is required, or null for any zone
 * @param singleZone whether all tasks must run in one zone
 * @param spread whether at most half of the tasks, rounded up, may run in one zone
 * @param spot whether tasks may run on spot machines
 * @param estimatedRunS run time of one task in seconds, as estimated by the user
 * @param checkpointIntervalS time in seconds between two checkpoints of a task, or 0 if it saves
 *     none
 * @param checkpointSaveS time in seconds that a task needs to save a checkpoint
 * @param deadlineS time in seconds after submission by which the job should be done, or null
 *     without a deadline
 * @param kind batch or service; null, as in entries of older versions, is replaced by batch
 */
public record JobSpec(
    String id,
    String jobClass,
    String team,
    Priority priority,
    int tasks,
    double cpus,
    double gpus,
    double memoryGb,
    String image,
    double imageGb,
    List<String> machineTypes,
    String zone,
    boolean singleZone,
    boolean spread,
    boolean spot,
    double estimatedRunS,
    double checkpointIntervalS,
    double checkpointSaveS,
    Double deadlineS,
    JobKind kind) {
  /**
   * Replaces a null kind by batch. Entries of batch jobs have no kind, because versions without
   * services wrote them.
   */
  public JobSpec {
    if (kind == null) {
      kind = JobKind.BATCH;
    }
  }

  /** Returns whether the tasks are replicas that run until the job is cancelled. */
  public boolean isService() {
    return kind == JobKind.SERVICE;
  }

  /**
   * Returns the maximum number of tasks in one zone, which is half of the tasks, rounded up, for a
   * spread job and unlimited for other jobs.
   */
  public int maxTasksPerZone() {
    return spread ? (tasks + 1) / 2 : Integer.MAX_VALUE;
  }

  /**
   * Returns the number of tasks that are placed first once the job starves, which is a tenth but at
   * least one.
   */
  public int starvationTasks() {
    return Math.max(1, tasks / 10);
  }

  /**
   * Returns whether one task fits on an empty machine of the given type and the job allows the
   * type.
   */
  public boolean fits(MachineType type) {
    return allowsType(type.name())
        && cpus <= type.cpus() + Constants.ROUNDING_EPSILON
        && gpus <= type.gpus() + Constants.ROUNDING_EPSILON
        && memoryGb <= type.memoryGb() + Constants.ROUNDING_EPSILON;
  }

  /** Returns whether the job may run on a spot or on-demand machine of the given type and zone. */
  public boolean allowsMachine(String type, String machineZone, boolean spotMachine) {
    return allowsType(type) && (zone == null || zone.equals(machineZone)) && (!spotMachine || spot);
  }

  private boolean allowsType(String type) {
    return machineTypes == null || machineTypes.contains(type);
  }
}
