package mallowstall.core.model;

import java.util.List;

/**
 * Queries whether jobs were accepted, before the sender responds to users that they never were. The
 * receiver replies which of the jobs it may have reported as accepted. It reports none of the
 * others as accepted for a limited time. The message may be lost; the sender then doesn't send its
 * users that response.
 *
 * @param node the controller that sends the query
 * @param incarnation incarnation of the process that sends the query
 * @param serial number of this query among all queries of the sending process
 * @param jobs ids of the jobs, some of which the receiver may not know
 */
public record AcceptanceQuery(String node, long incarnation, long serial, List<String> jobs)
    implements PeerMessage {
  /** Stores an unmodifiable copy of the ids. */
  public AcceptanceQuery {
    jobs = List.copyOf(jobs);
  }
}
