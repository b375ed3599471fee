package mallowstall.core.model;

import java.util.List;

/**
 * Stop and drain requests to a machine leader, from a job leader or from the leader of the
 * autoscaler. The message may be lost; senders repeat the requests that are still needed.
 *
 * @param node the sending controller
 * @param incarnation incarnation of the sender
 * @param stops requests to stop tasks
 * @param machinesToDrain machines that receive no more tasks for a while
 */
public record StopBatch(
    String node, long incarnation, List<StopRequest> stops, List<String> machinesToDrain)
    implements PeerMessage {}
