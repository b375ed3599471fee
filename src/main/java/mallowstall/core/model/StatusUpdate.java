package mallowstall.core.model;

import java.util.List;

/**
 * All that an owner knows of its machines, as of its statement {@code serial}, told as what has
 * changed since its statement {@code since} (0: told in full). {@code mirrorRevision} tells up to
 * which revision of the state service it has followed, {@code acked*} which of the receiver's
 * starts are in it, {@code heard*} the newest statement of the receiver that the sender has taken
 * in: the receiver's next one builds on that. {@code cancelled} names the jobs that the sender
 * knows to be cancelled since the revision that the receiver's mirror has reached.
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
