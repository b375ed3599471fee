package mallowstall.core.model;

import java.util.List;

/**
 * One machine as its owner knows it. {@code version} is that of its record, {@code session} and
 * {@code seq} name the newest report behind this.
 */
public record MachineStatus(
    String machine,
    String address,
    long fencingToken,
    long entryRevision,
    long session,
    long heartbeatSequence,
    boolean tokenAcknowledged,
    boolean usable,
    boolean draining,
    boolean needsReplacement,
    boolean unresponsive,
    boolean leaseExpired,
    String type,
    String zone,
    boolean spot,
    double interruptionNoticeS,
    double freeCpus,
    double freeGpus,
    double freeMemoryGb,
    long idleMs,
    List<String> images,
    List<TaskStatus> tasks) {
  /** Whether both say the same, but for what drifts with time alone. */
  public boolean sameIgnoringElapsedTime(MachineStatus other) {
    return fencingToken == other.fencingToken
        && java.util.Objects.equals(address, other.address)
        && entryRevision == other.entryRevision
        && session == other.session
        && tokenAcknowledged == other.tokenAcknowledged
        && usable == other.usable
        && draining == other.draining
        && needsReplacement == other.needsReplacement
        && unresponsive == other.unresponsive
        && leaseExpired == other.leaseExpired
        && (interruptionNoticeS < 0) == (other.interruptionNoticeS < 0)
        && freeCpus == other.freeCpus
        && freeGpus == other.freeGpus
        && freeMemoryGb == other.freeMemoryGb
        && (idleMs == 0) == (other.idleMs == 0)
        && images.equals(other.images)
        && tasks.equals(other.tasks);
  }
}
