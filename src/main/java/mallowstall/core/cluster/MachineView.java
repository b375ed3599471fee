package mallowstall.core.cluster;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import mallowstall.core.model.Capacity;
import mallowstall.core.model.JobSpec;
import mallowstall.core.model.MachineStatus;
import mallowstall.core.model.TaskRef;

/** One machine as seen from here. Mutable. */
public final class MachineView {
  public final String id;
  public String leader;
  public long leaderIncarnation;

  /** When {@link #status} was told. */
  public long updatedAtMs;

  public MachineStatus status;

  /** Room taken by starts sent from here and not yet in the owner's roster. */
  double reservedCpus;

  double reservedGpus;
  double reservedMemoryGb;

  /** Images that are there or that a task there needs, as of {@link #status}. */
  public String[] images = {};

  /** For each task there that waits for its image, or was only accepted, that image. */
  public List<String> fetchingImages = List.of();

  MachineStatus derivedFrom;

  /** Tasks there that this controller has asked to be stopped for others, until when. */
  public final Map<TaskRef, Long> preemptedUntilMs = new HashMap<>();

  /** Wires this module to the ones that it uses; it does nothing before its first event. */
  public MachineView(String id) {
    this.id = id;
  }

  /** Free processors, less what starts on their way will take. */
  public double freeCpus() {
    return status.freeCpus() - reservedCpus;
  }

  /** Free GPUs, less what starts on their way will take. */
  public double freeGpus() {
    return status.freeGpus() - reservedGpus;
  }

  /** Free memory in GB, less what starts on their way will take. */
  public double freeMemoryGb() {
    return status.freeMemoryGb() - reservedMemoryGb;
  }

  public boolean isSchedulable() {
    return status != null
        && leader != null
        && status.tokenAcknowledged()
        && status.usable()
        && !status.draining()
        && !status.unresponsive()
        && !status.needsReplacement();
  }

  /** Whether the job may run on such a machine. */
  public boolean allows(JobSpec spec) {
    return spec.allowsMachine(status.type(), status.zone(), status.spot());
  }

  /** How many tasks of the job have room. */
  public int fittingTasks(JobSpec spec) {
    return Capacity.fittingTasks(freeCpus(), freeGpus(), freeMemoryGb(), spec);
  }

  /** Takes the room of so many tasks of the job. */
  public void reserve(JobSpec spec, int tasks) {
    reservedCpus += tasks * spec.cpus();
    reservedGpus += tasks * spec.gpus();
    reservedMemoryGb += tasks * spec.memoryGb();
  }

  /** Forgets the room taken by starts sent from here. */
  public void clearReservations() {
    reservedCpus = 0;
    reservedGpus = 0;
    reservedMemoryGb = 0;
  }

  /** Whether it will be gone before long, by the cloud's notice or since it fails its tasks. */
  public boolean isDeparting() {
    return status != null
        && leader != null
        && (status.interruptionNoticeS() >= 0 || status.needsReplacement());
  }

  /** For how long it has been idle, or silent; what was told then has gone on since. */
  public long idleMs(long now) {
    return status.idleMs() == 0 ? 0 : status.idleMs() + now - updatedAtMs;
  }
}
