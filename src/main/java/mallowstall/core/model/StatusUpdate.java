package mallowstall.core.model;

import java.util.List;

/**
 * A controller's numbered account of its machines for one peer. Incremental ones tell what has
 * changed since an earlier update that the peer has acknowledged (docs/design.md, What controllers
 * tell each other).
 *
 * @param node the sending controller
 * @param incarnation its incarnation
 * @param serial number of this update; it only grows within an incarnation
 * @param baseSerial update on which this one builds; 0: this one is full
 * @param acknowledgedIncarnation incarnation of the receiver in its newest update that the sender
 *     has applied
 * @param acknowledgedSerial serial of that update: the next one for the sender may build on it
 * @param replicaRevision revision that the sender's state replica has reached
 * @param acknowledgedStartsIncarnation incarnation of the receiver in its newest {@link StartBatch}
 *     that is accounted for here
 * @param acknowledgedStartsConnection connection of that batch
 * @param acknowledgedStartsSequence sequence number of that batch
 * @param replicaAgeMs ms since the sender's state replica was last known to be current
 * @param cancelledJobs jobs that the sender knows to be cancelled since the revision that the
 *     receiver's replica has reached
 * @param machines status of the machines that have changed, or of all
 * @param releasedMachines machines that the sender no longer leads, since the base
 * @param rejections starts of the receiver that the sender has rejected
 */
public record StatusUpdate(
    String node,
    long incarnation,
    long serial,
    long baseSerial,
    long acknowledgedIncarnation,
    long acknowledgedSerial,
    long replicaRevision,
    long acknowledgedStartsIncarnation,
    long acknowledgedStartsConnection,
    long acknowledgedStartsSequence,
    long replicaAgeMs,
    List<String> cancelledJobs,
    List<MachineStatus> machines,
    List<String> releasedMachines,
    List<StartRejection> rejections)
    implements PeerMessage {}
