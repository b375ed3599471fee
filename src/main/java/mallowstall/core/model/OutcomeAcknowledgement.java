package mallowstall.core.model;

/**
 * Acknowledges an {@link OutcomeAnnouncement}: the sender has recorded that the job has ended and
 * reports it as open to no user.
 *
 * @param node the sending controller
 * @param job id of the job
 */
public record OutcomeAcknowledgement(String node, String job) implements PeerMessage {}
