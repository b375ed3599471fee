package mallowstall.core.model;

import java.util.List;

/**
 * Answers questions of a {@link RunStateQuery}. The answers to one query may come in several
 * replies.
 *
 * @param node the controller that answers
 * @param asker the controller that sent the query
 * @param incarnation incarnation of the process that sent the query
 * @param serial number of the query
 * @param answers the answers
 */
public record RunStateReply(
    String node, String asker, long incarnation, long serial, List<RunStateAnswer> answers)
    implements PeerMessage {
  /** Stores an unmodifiable copy of the answers. */
  public RunStateReply {
    answers = List.copyOf(answers);
  }
}
