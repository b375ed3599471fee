package mallowstall.core.model;

/**
 * A job has ended, which its user is about to be told. The receiver calls the job open to nobody
 * from then on, and acknowledges. May be lost; then the sender waits until answers that rest on
 * earlier reads can't be given any more.
 *
 * @param node the sending controller
 * @param job id of the job, which the receiver may not know yet
 * @param outcome how it ended, as recorded in the state service: done or cancelled
 */
public record OutcomeAnnouncement(String node, String job, JobOutcome outcome)
    implements PeerMessage {}
