package mallowstall.core.model;

import java.util.List;
import java.util.Objects;

/**
 * A machine as its leader publishes it (docs/design.md, What controllers tell each other).
 *
 * @param machine id of the machine
 * @param address host and port of the worker's own server
 * @param fencingToken the leader's fencing token
 * @param entryRevision revision of the machine's entry that the leader goes by
 * @param session session of the worker in its newest heartbeat
 * @param heartbeatSequence number of that heartbeat within the session
 * @param tokenAcknowledged whether a heartbeat has shown the fencing token
 * @param usable whether the machine may get tasks
 * @param draining whether it gets no more tasks because it is about to be returned
 * @param needsReplacement whether it is faulty and should be returned
 * @param unresponsive whether heartbeats are overdue
 * @param leaseExpired whether the worker's lease has run out, so that its tasks have ended
 * @param type name of the machine type
 * @param zone zone of the machine
 * @param spot whether the cloud may interrupt it
 * @param interruptionNoticeS s until the cloud takes the machine; negative: no notice
 * @param freeCpus processors neither used nor reserved
 * @param freeGpus GPUs neither used nor reserved
 * @param freeMemoryGb GB of memory neither used nor reserved
 * @param idleMs ms for which the machine has been idle, or, if unresponsive, without a heartbeat;
 *     0: in use
 * @param images names of the images in its cache
 * @param tasks its tasks and the starts reserved on it
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
  /** Whether both are equal but for what changes with time alone: durations and heartbeats. */
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
