package mallowstall.core.model;

import java.util.List;

/**
 * Ends an {@link AcceptanceQuery}: no response that relies on the leases that were granted for the
 * query can reach a user any more. The leases are no longer needed. The message may be lost; the
 * leases then expire by themselves.
 *
 * <p>Versions before the jobs were added send and read the first three components only.
 *
 * @param node the controller that sent the query
 * @param incarnation incarnation of the process that sent the query
 * @param serial all queries up to this number have ended
 * @param jobs jobs about which later queries have ended, too
 * @param jobsSerial the queries about {@code jobs} up to this number have ended
 */
public record AcceptanceQueryEnd(
    String node, long incarnation, long serial, List<String> jobs, long jobsSerial)
    implements PeerMessage {
  /** Stores an unmodifiable copy of the jobs. */
  public AcceptanceQueryEnd {
    jobs = List.copyOf(jobs);
  }

  /** Creates a message that ends all queries up to {@code serial} and no later one. */
  public AcceptanceQueryEnd(String node, long incarnation, long serial) {
    this(node, incarnation, serial, List.of(), serial);
  }
}
