package mallowstall.core.model;

import java.util.List;

/**
 * The sender is about to tell users that these jobs were never accepted. The receiver answers
 * whether it may have called any of them accepted; those that it hasn't it calls accepted to nobody
 * for a limited time. May be lost; then the sender tells its users nothing.
 *
 * @param node the sending controller
 * @param incarnation the sending process
 * @param serial number of this query among all of its sender's process
 * @param jobs ids, which the receiver may not know
 */
public record AcceptanceQuery(String node, long incarnation, long serial, List<String> jobs)
    implements PeerMessage {
  /** Keeps an unmodifiable copy of the ids. */
  public AcceptanceQuery {
    jobs = List.copyOf(jobs);
  }
}
