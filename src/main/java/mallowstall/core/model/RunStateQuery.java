package mallowstall.core.model;

import java.util.List;

/**
 * Asks another controller, or all of them, whether tasks of jobs are running.
 *
 * @param node the controller that asks
 * @param incarnation incarnation of the process that asks
 * @param serial number of the query; it only increases within an incarnation
 * @param questions one question about each job
 */
public record RunStateQuery(
    String node, long incarnation, long serial, List<RunStateQuestion> questions)
    implements PeerMessage {
  /** Stores an unmodifiable copy of the questions. */
  public RunStateQuery {
    questions = List.copyOf(questions);
  }
}
