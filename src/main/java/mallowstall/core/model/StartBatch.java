package mallowstall.core.model;

import java.util.List;

/**
 * Start requests from a job leader to a machine leader. Batches are numbered so that each is
 * handled once.
 *
 * @param node the sending controller
 * @param incarnation incarnation of the sender
 * @param connection number of the sender's connection that carries the batch; it only increases
 *     within a process
 * @param sequence number of the batch; a gap or an older connection means that batches were lost
 * @param starts the start requests; without any, the batch only announces the connection
 * @param receiverIncarnation incarnation of the machine leader's process for which the starts are
 *     meant, or 0 if the sender doesn't know it or is of an older version
 */
public record StartBatch(
    String node,
    long incarnation,
    long connection,
    long sequence,
    List<StartRequest> starts,
    long receiverIncarnation)
    implements PeerMessage {
  /** Creates a batch without starts, which announces the connection. */
  public static StartBatch announcement(
      String node, long incarnation, long connection, long sequence) {
    return new StartBatch(node, incarnation, connection, sequence, List.of(), 0);
  }

  /** Returns whether the batch is meant for the process with this incarnation. */
  public boolean isFor(long processIncarnation) {
    return receiverIncarnation == 0 || receiverIncarnation == processIncarnation;
  }
}
