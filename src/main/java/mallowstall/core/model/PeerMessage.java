package mallowstall.core.model;

/** A message between controllers. A message may be lost when a connection breaks. */
public sealed interface PeerMessage
    permits StatusUpdate,
        StartBatch,
        StopBatch,
        OutcomeAnnouncement,
        OutcomeAcknowledgement,
        AcceptanceQuery,
        AcceptanceReply,
        AcceptanceQueryEnd,
        RunStateQuery,
        RunStateReply {}
