package mallowstall.core.model;

/**
 * Announces that a job has ended, before this is reported to the job's user. From then on the
 * receiver reports the job as open to no user, and it acknowledges the message. The message may be
 * lost; the sender then waits until no response that is based on an earlier read can be given any
 * more.
 *
 * @param node the sending controller
 * @param job id of the job, which may be unknown to the receiver
 * @param outcome how the job has ended, as recorded in the state service: done or cancelled
 */
public record OutcomeAnnouncement(String node, String job, JobOutcome outcome)
    implements PeerMessage {}
