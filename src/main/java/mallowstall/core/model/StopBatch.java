package mallowstall.core.model;

import java.util.List;

/**
 * Stop and drain requests to a machine leader, from a job leader or from the leader of the
 * autoscaler. May be lost; senders repeat what is still needed.
 *
 * @param node the sending controller
 * @param incarnation its incarnation
 * @param stops tasks to be stopped
 * @param machinesToDrain machines that are to get no more tasks for a while
 */
public record StopBatch(
    String node, long incarnation, List<StopRequest> stops, List<String> machinesToDrain)
    implements PeerMessage {}
