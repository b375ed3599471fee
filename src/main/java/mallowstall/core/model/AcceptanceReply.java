package mallowstall.core.model;

import java.util.List;

/**
 * The answer to an {@link AcceptanceQuery}.
 *
 * @param node the answering controller
 * @param incarnation the process that asked
 * @param serial the number of its query
 * @param possiblyAccepted the jobs asked about that the answering controller knows as accepted, is
 *     about to record, or can't vouch for
 */
public record AcceptanceReply(
    String node, long incarnation, long serial, List<String> possiblyAccepted)
    implements PeerMessage {
  /** Keeps an unmodifiable copy of the ids. */
  public AcceptanceReply {
    possiblyAccepted = List.copyOf(possiblyAccepted);
  }
}
