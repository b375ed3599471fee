package mallowstall.core.model;

import java.util.List;

/**
 * The reply to an {@link AcceptanceQuery}.
 *
 * @param node the controller that replies
 * @param incarnation incarnation of the process that sent the query
 * @param serial number of the query
 * @param possiblyAccepted the jobs of the query that may have been accepted: the replying
 *     controller has accepted or is recording them, or can grant no lease on their absence
 */
public record AcceptanceReply(
    String node, long incarnation, long serial, List<String> possiblyAccepted)
    implements PeerMessage {
  /** Stores an unmodifiable copy of the ids. */
  public AcceptanceReply {
    possiblyAccepted = List.copyOf(possiblyAccepted);
  }
}
