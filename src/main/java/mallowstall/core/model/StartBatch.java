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
 */
public record StartBatch(
    String node, long incarnation, long connection, long sequence, List<StartRequest> starts)
    implements PeerMessage {}
