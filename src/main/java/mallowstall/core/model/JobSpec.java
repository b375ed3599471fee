package mallowstall.core.model;

import java.util.List;

/** A job as its user described it. */
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
  /** Entries of batch jobs carry no kind: versions without services wrote them. */
  public JobSpec {
    if (kind == null) {
      kind = JobKind.BATCH;
    }
  }

  /** Whether its tasks are replicas that run until the job is cancelled. */
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
    return (machineTypes == null || machineTypes.contains(type.name()))
        && cpus <= type.cpus() + 1e-9
        && gpus <= type.gpus() + 1e-9
        && memoryGb <= type.memoryGb() + 1e-9;
  }

  /** Whether the job may run on a machine of this type, in this zone, spot or not. */
  public boolean allowsMachine(String type, String machineZone, boolean spotMachine) {
    return (machineTypes == null || machineTypes.contains(type))
        && (zone == null || zone.equals(machineZone))
        && (!spotMachine || spot);
  }
}
