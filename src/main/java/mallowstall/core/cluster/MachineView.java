package mallowstall.core.cluster;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import mallowstall.core.model.Capacity;
import mallowstall.core.model.JobSpec;
import mallowstall.core.model.MachineStatus;
import mallowstall.core.model.TaskAttempt;

/**
 * One machine as this controller sees it: the newest status that its leader has published, and what
 * this controller has requested there since. Mutable; changed by {@link ClusterView} and by the
 * placement pass.
 */
public final class MachineView {
  private final String id;

  /** Null while no controller leads it. */
  private String leader;

  private long leaderIncarnation;
  private long updatedAtMs;

  /** Null until a first status is applied. */
  private MachineStatus status;

  private double reservedCpus;
  private double reservedGpus;
  private double reservedMemoryGb;

  /** Images on the machine and those that its tasks need, as of {@link #imagesStatus}. */
  private String[] images = {};

  private List<String> fetchingImages = List.of();

  /** The status from which the images were collected; null: none yet. */
  private MachineStatus imagesStatus;

  private final Map<TaskAttempt, Long> preemptedUntilMs = new HashMap<>();

  /** A machine of which nothing is known yet. */
  public MachineView(String id) {
    this.id = id;
  }

  /** The machine's id. */
  public String id() {
    return id;
  }

  /** The controller that leads it; null if none does, as far as known. */
  public String leader() {
    return leader;
  }

  /** The process of the leader that published the status. */
  public long leaderIncarnation() {
    return leaderIncarnation;
  }

  /** Steady time in ms at which the status was received. */
  public long updatedAtMs() {
    return updatedAtMs;
  }

  /** The newest status; null until one is received. */
  public MachineStatus status() {
    return status;
  }

  /** A controller, from now on its leader, has published a status, received at this time in ms. */
  public void applyStatus(String node, long incarnation, MachineStatus newStatus, long now) {
    leader = node;
    leaderIncarnation = incarnation;
    updatedAtMs = now;
    status = newStatus;
  }

  /** The controller that led it leads it no longer. */
  public void clearLeader() {
    leader = null;
  }

  /** Free processors, less what requested starts will take. */
  public double freeCpus() {
    return status.freeCpus() - reservedCpus;
  }

  /** Free GPUs, less what requested starts will take. */
  public double freeGpus() {
    return status.freeGpus() - reservedGpus;
  }

  /** Free memory in GB, less what requested starts will take. */
  public double freeMemoryGb() {
    return status.freeMemoryGb() - reservedMemoryGb;
  }

  /** How many tasks of the job fit into the free capacity. */
  public int fittingTasks(JobSpec spec) {
    return Capacity.fittingTasks(freeCpus(), freeGpus(), freeMemoryGb(), spec);
  }

  /** Reserves capacity for so many tasks of the job; a negative number gives it back. */
  public void reserve(JobSpec spec, int tasks) {
    reservedCpus += tasks * spec.cpus();
    reservedGpus += tasks * spec.gpus();
    reservedMemoryGb += tasks * spec.memoryGb();
  }

  /** Gives back all reserved capacity. */
  public void clearReservations() {
    reservedCpus = 0;
    reservedGpus = 0;
    reservedMemoryGb = 0;
  }

  /** Whether its leader accepts starts for it. */
  public boolean isSchedulable() {
    return status != null
        && leader != null
        && status.tokenAcknowledged()
        && status.usable()
        && !status.draining()
        && !status.unresponsive()
        && !status.needsReplacement();
  }

  /** Whether the job may run on a machine of this type and zone, on demand or spot. */
  public boolean allows(JobSpec spec) {
    return spec.allowsMachine(status.type(), status.zone(), status.spot());
  }

  /** Whether it will end before long: by the cloud's notice, or since it fails its tasks. */
  public boolean isDeparting() {
    return status != null
        && leader != null
        && (status.interruptionNoticeS() >= 0 || status.needsReplacement());
  }

  /** For how many ms it has been idle or unresponsive, time since the status included; 0: not. */
  public long idleMs(long now) {
    return status.idleMs() == 0 ? 0 : status.idleMs() + now - updatedAtMs;
  }

  /** Whether the images were collected from the present status, which is this very object. */
  @SuppressWarnings("ReferenceEquality")
  boolean hasCurrentImages() {
    return imagesStatus == status;
  }

  /** Sets the images collected from the present status; the arguments are kept, not copied. */
  void setCurrentImages(String[] present, List<String> fetching) {
    images = present;
    fetchingImages = fetching;
    imagesStatus = status;
  }

  /**
   * Images on the machine and those that its tasks need, as of {@link
   * ClusterView#updateDerivedState}; not to be changed.
   */
  public String[] images() {
    return images;
  }

  /** For each task that waits for its image or was only accepted, that image; as above. */
  public List<String> fetchingImages() {
    return fetchingImages;
  }

  /** This controller has asked to preempt the task; it isn't asked for again until that time. */
  public void recordPreemption(TaskAttempt task, long untilMs) {
    preemptedUntilMs.put(task, untilMs);
  }

  /** Forgets preemptions whose time is over. */
  public void forgetPreemptions(long now) {
    preemptedUntilMs.values().removeIf(untilMs -> untilMs <= now);
  }

  /** Whether this controller has asked to preempt the task, and hasn't forgotten it yet. */
  public boolean isPreempted(TaskAttempt task) {
    return preemptedUntilMs.containsKey(task);
  }
}
