package mallowstall.core.model;

import java.util.List;
import java.util.Objects;

/**
 * The status of a machine as published by its leader (docs/design.md, What controllers tell each
 * other).
 *
 * @param machine id of the machine
 * @param address host and port of the worker's own server
 * @param fencingToken fencing token of the leader
 * @param entryRevision revision of the machine's entry on which the leader's status is based
 * @param session worker session of the newest heartbeat
 * @param heartbeatSequence number of that heartbeat within the session
 * @param tokenAcknowledged whether a heartbeat has contained the fencing token
 * @param usable whether the machine may receive tasks
 * @param draining whether the machine receives no more tasks because it is about to be returned
 * @param needsReplacement whether the machine is faulty and should be returned
 * @param unresponsive whether heartbeats are overdue
 * @param leaseExpired whether the worker lease has expired, so that the worker's tasks have ended
 * @param type name of the machine type
 * @param zone zone of the machine
 * @param spot whether the cloud may interrupt the machine
 * @param interruptionNoticeS time in seconds until the cloud takes the machine, or negative without
 *     a notice
 * @param freeCpus number of processors neither used nor reserved
 * @param freeGpus number of GPUs neither used nor reserved
 * @param freeMemoryGb gigabytes of memory neither used nor reserved
 * @param idleMs time in milliseconds for which the machine has been idle or, if unresponsive, has
 *     sent no heartbeat; 0 if it is in use
 * @param images names of the images in the machine's cache
 * @param tasks tasks of the machine and the starts reserved on it
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
  /**
   * Returns whether both statuses are equal except for the values that change with time alone,
   * which are durations and heartbeats.
   */
  public boolean sameIgnoringElapsedTime(MachineStatus other) {
    return fencingToken == other.fencingToken
        && Objects.equals(address, other.address)
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
