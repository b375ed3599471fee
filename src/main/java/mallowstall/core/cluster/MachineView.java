package mallowstall.core.cluster;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import mallowstall.core.model.Capacity;
import mallowstall.core.model.JobSpec;
import mallowstall.core.model.MachineStatus;
import mallowstall.core.model.TaskAttempt;

/** One machine as seen from here. Mutable. */
public final class MachineView {
  private final String id;
  private String leader;
  private long leaderIncarnation;

  /** When {@link #status} was told. */
  private long updatedAtMs;

  private MachineStatus status;

  /** Room taken by starts sent from here and not yet in the owner's roster. */
  private double reservedCpus;

  private double reservedGpus;
  private double reservedMemoryGb;

  /** Images that are there or that a task there needs, as of {@link #status}. */
  private String[] images = {};

  /** For each task there that waits for its image, or was only accepted, that image. */
  private List<String> fetchingImages = List.of();

  private MachineStatus derivedFrom;

  /** Tasks there that this controller has asked to be stopped for others, until when. */
  private final Map<TaskAttempt, Long> preemptedUntilMs = new HashMap<>();

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

  /** The id. */
  public String id() {
    return id;
  }

  /** The leader. */
  public String leader() {
    return leader;
  }

  /** Sets the leader. */
  public void setLeader(String newValue) {
    this.leader = newValue;
  }

  /** The leader incarnation. */
  public long leaderIncarnation() {
    return leaderIncarnation;
  }

  /** Sets the leader incarnation. */
  public void setLeaderIncarnation(long newValue) {
    this.leaderIncarnation = newValue;
  }

  /** When {@link #status} was told. */
  public long updatedAtMs() {
    return updatedAtMs;
  }

  /** Sets the updated at, in ms of the steady clock. */
  public void setUpdatedAtMs(long newValue) {
    this.updatedAtMs = newValue;
  }

  /** The status. */
  public MachineStatus status() {
    return status;
  }

  /** Sets the status. */
  public void setStatus(MachineStatus newValue) {
    this.status = newValue;
  }

  /** Room taken by starts sent from here and not yet in the owner's roster. */
  double reservedCpus() {
    return reservedCpus;
  }

  /** The reserved gpus. */
  double reservedGpus() {
    return reservedGpus;
  }

  /** The reserved memory, in GB. */
  double reservedMemoryGb() {
    return reservedMemoryGb;
  }

  /** Images that are there or that a task there needs, as of {@link #status}. */
  public String[] images() {
    return images;
  }

  /** Sets the images. */
  public void setImages(String[] newValue) {
    this.images = newValue;
  }

  /** For each task there that waits for its image, or was only accepted, that image. */
  public List<String> fetchingImages() {
    return fetchingImages;
  }

  /** Sets the fetching images. */
  public void setFetchingImages(List<String> newValue) {
    this.fetchingImages = newValue;
  }

  /** The derived from. */
  MachineStatus derivedFrom() {
    return derivedFrom;
  }

  /** Sets the derived from. */
  void setDerivedFrom(MachineStatus newValue) {
    this.derivedFrom = newValue;
  }

  /** Tasks there that this controller has asked to be stopped for others, until when. */
  public Map<TaskAttempt, Long> preemptedUntilMs() {
    return preemptedUntilMs;
  }
}
