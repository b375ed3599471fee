package mallowstall.core.model;

import java.util.List;
import mallowstall.Constants;

/**
 * A job as its user described it (protocol, Users). Amounts are per task.
 *
 * @param id id of the job, chosen by the user
 * @param jobClass class of the job; names the placement policy
 * @param team team whose quota counts
 * @param priority priority against other jobs
 * @param tasks number of tasks
 * @param cpus processors
 * @param gpus GPUs
 * @param memoryGb GB of memory
 * @param image name of the image
 * @param imageGb GB of the image in the cache of a machine
 * @param machineTypes machine types that are allowed; null: all
 * @param zone zone that is demanded; null: any
 * @param singleZone whether all tasks must run in one zone
 * @param spread whether at most half of the tasks, rounded up, may run in one zone
 * @param spot whether tasks may run on spot machines
 * @param estimatedRunS s that one task runs by the user's estimate
 * @param checkpointIntervalS s between two checkpoints of a task; 0: it takes none
 * @param checkpointSaveS s that a task needs to save a checkpoint
 * @param deadlineS s after submission by which the job should be done; null: no deadline
 * @param kind batch or service; null, as in entries of older versions, becomes batch
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
  /** Entries of batch jobs have no kind: versions without services wrote them. */
  public JobSpec {
    if (kind == null) {
      kind = JobKind.BATCH;
    }
  }

  /** Whether the tasks are replicas that run until the job is cancelled. */
  public boolean isService() {
    return kind == JobKind.SERVICE;
  }

  /** The most tasks that may be in one zone: half of a spread job's, rounded up. */
  public int maxTasksPerZone() {
    return spread ? (tasks + 1) / 2 : Integer.MAX_VALUE;
  }

  /** Tasks that are placed first once the job starves: a tenth, at least one. */
  public int starvationTasks() {
    return Math.max(1, tasks / 10);
  }

  /** Whether one task fits on an empty machine of this type, and the job allows the type. */
  public boolean fits(MachineType type) {
    return allowsType(type.name())
        && cpus <= type.cpus() + Constants.ROUNDING_EPSILON
        && gpus <= type.gpus() + Constants.ROUNDING_EPSILON
        && memoryGb <= type.memoryGb() + Constants.ROUNDING_EPSILON;
  }

  /** Whether the job may run on a machine of this type, in this zone, spot or not. */
  public boolean allowsMachine(String type, String machineZone, boolean spotMachine) {
    return allowsType(type) && (zone == null || zone.equals(machineZone)) && (!spotMachine || spot);
  }

  private boolean allowsType(String type) {
    return machineTypes == null || machineTypes.contains(type);
  }
}
