package mallowstall.core.model;

/**
 * Ends an {@link AcceptanceQuery}: the sender has sent its users the response that the query was
 * for, or never will. The leases that were granted for the query are no longer needed. The message
 * may be lost; the leases then expire by themselves.
 *
 * @param node the controller that sent the query
 * @param incarnation incarnation of the process that sent the query
 * @param serial number of the query
 */
public record AcceptanceQueryEnd(String node, long incarnation, long serial)
    implements PeerMessage {}
