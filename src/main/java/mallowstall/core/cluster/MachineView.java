package mallowstall.core.cluster;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import mallowstall.core.model.Capacity;
import mallowstall.core.model.JobSpec;
import mallowstall.core.model.MachineStatus;
import mallowstall.core.model.TaskAttempt;

/**
 * One machine as this controller sees it: the newest status that the machine leader has published,
 * and the starts and preemptions that this controller has requested on the machine since. Mutable;
 * changed by {@link ClusterView} and by the scheduling pass.
 */
public final class MachineView {
  /** Number of free processors that a machine must exceed to receive tasks. */
  public static final double FREE_CPUS_MIN = 0.01;

  private final String id;

  /** The machine leader, or null if no controller is known to lead the machine. */
  private String leader;

  private long leaderIncarnation;
  private long updatedAtMs;

  /** The newest status, or null if none has been applied yet. */
  private MachineStatus status;

  private double reservedCpus;
  private double reservedGpus;
  private double reservedMemoryGb;

  /** Images on the machine and images that its tasks need, as of {@link #imagesStatus}. */
  private String[] images = {};

  private List<String> fetchingImages = List.of();

  /** The status from which the images were collected, or null if none were collected yet. */
  private MachineStatus imagesStatus;

  private final Map<TaskAttempt, Long> preemptedUntilMs = new HashMap<>();

  /** Creates the view of a machine without a status or a leader. */
  public MachineView(String id) {
    this.id = id;
  }

  /** Returns the machine's id. */
  public String id() {
    return id;
  }

  /** Returns the machine leader, or null if no controller is known to lead the machine. */
  public String leader() {
    return leader;
  }

  /** Returns the incarnation of the machine leader that published the status. */
  public long leaderIncarnation() {
    return leaderIncarnation;
  }

  /** Returns the steady time in milliseconds at which the status was received. */
  public long updatedAtMs() {
    return updatedAtMs;
  }

  /** Returns the newest status, or null if none has been received yet. */
  public MachineStatus status() {
    return status;
  }

  /**
   * Applies a status that a controller has published; this controller is now the machine leader.
   *
   * @param now steady time in milliseconds at which the status was received
   */
  public void applyStatus(String node, long incarnation, MachineStatus newStatus, long now) {
    leader = node;
    leaderIncarnation = incarnation;
    updatedAtMs = now;
    status = newStatus;
  }

  /** Records that the machine leader doesn't lead the machine any more. */
  public void clearLeader() {
    leader = null;
  }

  /** Returns the number of free CPUs less those reserved for requested starts. */
  public double freeCpus() {
    return status.freeCpus() - reservedCpus;
  }

  /** Returns the number of free GPUs less those reserved for requested starts. */
  public double freeGpus() {
    return status.freeGpus() - reservedGpus;
  }

  /** Returns the free memory in GB less that reserved for requested starts. */
  public double freeMemoryGb() {
    return status.freeMemoryGb() - reservedMemoryGb;
  }

  /** Returns how many tasks of the job fit into the free capacity. */
  public int fittingTasks(JobSpec spec) {
    return Capacity.fittingTasks(freeCpus(), freeGpus(), freeMemoryGb(), spec);
  }

  /** Reserves capacity for this number of tasks of the job; a negative number releases it. */
  public void reserve(JobSpec spec, int tasks) {
    reservedCpus += tasks * spec.cpus();
    reservedGpus += tasks * spec.gpus();
    reservedMemoryGb += tasks * spec.memoryGb();
  }

  /** Releases all reserved capacity. */
  public void clearReservations() {
    reservedCpus = 0;
    reservedGpus = 0;
    reservedMemoryGb = 0;
  }

  /** Returns whether the newest status shows that the machine leader accepts starts. */
  public boolean isSchedulable() {
    return status != null
        && leader != null
        && status.tokenAcknowledged()
        && status.usable()
        && !status.draining()
        && !status.unresponsive()
        && !status.needsReplacement();
  }

  /** Returns whether the job allows the machine by its type, its zone and whether it is spot. */
  public boolean allows(JobSpec spec) {
    return spec.allowsMachine(status.type(), status.zone(), status.spot());
  }

  /**
   * Returns whether the machine will soon be interrupted or returned, because the cloud has given
   * notice or the machine is faulty.
   */
  public boolean isDeparting() {
    return status != null
        && leader != null
        && (status.interruptionNoticeS() >= 0 || status.needsReplacement());
  }

  /**
   * Returns for how many milliseconds the machine has been idle or unresponsive, including the time
   * since its status was received, or 0 if it is neither.
   */
  public long idleMs(long now) {
    return status.idleMs() == 0 ? 0 : status.idleMs() + now - updatedAtMs;
  }

  /** Returns whether the images were collected from the present status, compared by identity. */
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
   * Returns the images on the machine and the images that its tasks need, as of the last {@link
   * ClusterView#refreshImages}. The array must not be changed.
   */
  public String[] images() {
    return images;
  }

  /**
   * Returns the image of each task that is fetching its image or has only been accepted, as of the
   * last {@link ClusterView#refreshImages}. The list must not be changed.
   */
  public List<String> fetchingImages() {
    return fetchingImages;
  }

  /**
   * Records that this controller has requested the preemption of a task.
   *
   * @param untilMs steady time in milliseconds before which the preemption isn't requested again
   */
  public void recordPreemption(TaskAttempt task, long untilMs) {
    preemptedUntilMs.put(task, untilMs);
  }

  /** Removes recorded preemptions that may be requested again at this steady time. */
  public void removeExpiredPreemptions(long now) {
    preemptedUntilMs.values().removeIf(untilMs -> untilMs <= now);
  }

  /** Returns whether a preemption of the task is recorded. */
  public boolean isPreempted(TaskAttempt task) {
    return preemptedUntilMs.containsKey(task);
  }
}
