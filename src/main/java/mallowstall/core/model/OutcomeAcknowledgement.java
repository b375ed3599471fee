package mallowstall.core.model;

/**
 * The sender knows that the job has ended, and calls it open to nobody.
 *
 * @param node the sending controller
 * @param job id of the job
 */
public record OutcomeAcknowledgement(String node, String job) implements PeerMessage {}
