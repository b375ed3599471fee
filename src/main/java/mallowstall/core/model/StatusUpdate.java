package mallowstall.core.model;

import java.util.List;

/**
 * A controller's numbered status update about its machines for one peer. An incremental update
 * contains what has changed since an earlier update that the peer has acknowledged (docs/design.md,
 * What controllers tell each other).
 *
 * @param node the sending controller
 * @param incarnation incarnation of the sender
 * @param serial number of this update; it only increases within an incarnation
 * @param baseSerial serial of the update on which this update builds, or 0 if this update is full
 * @param acknowledgedIncarnation incarnation of the receiver in the newest of its updates that the
 *     sender has applied
 * @param acknowledgedSerial serial of that update; the receiver's next update for the sender may
 *     build on it
 * @param replicaRevision revision that the sender's state replica has reached
 * @param acknowledgedStartsIncarnation incarnation of the receiver in its newest {@link StartBatch}
 *     that this update takes into account
 * @param acknowledgedStartsConnection connection of that batch
 * @param acknowledgedStartsSequence number of that batch
 * @param replicaAgeMs time in milliseconds since the sender's state replica was last known to be
 *     current
 * @param cancelledJobs jobs whose cancellation was written after the revision of the receiver's
 *     state replica, as far as the sender's state replica has them; empty if the sender doesn't
 *     keep all of them or the receiver has published no revision
 * @param machines status of the machines that have changed, or of all machines
 * @param releasedMachines machines that the sender has ceased to lead since the base
 * @param rejections start requests of the receiver that the sender has rejected
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
