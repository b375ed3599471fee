package mallowstall.core.model;

import java.util.List;

/**
 * Start requests from a job leader to a machine leader, numbered so that each is handled once.
 *
 * @param node the sending controller
 * @param incarnation its incarnation
 * @param connection number of the sender's connection that carries this; it only grows within a
 *     process
 * @param sequence number of the batch; a gap or an older connection means lost batches
 * @param starts the requests; none: only announces the connection
 */
public record StartBatch(
    String node, long incarnation, long connection, long sequence, List<StartRequest> starts)
    implements PeerMessage {}
