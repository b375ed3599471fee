package mallowstall.core.model;

/**
 * The sender has told its users what an {@link AcceptanceQuery} was for, or never will: leases that
 * were granted for it have no use any more. May be lost; then they end by themselves.
 *
 * @param node the controller that asked
 * @param incarnation the process that asked
 * @param serial the number of its query
 */
public record AcceptanceQueryEnd(String node, long incarnation, long serial)
    implements PeerMessage {}
