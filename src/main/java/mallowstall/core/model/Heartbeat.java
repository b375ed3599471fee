package mallowstall.core.model;

import java.util.List;

/**
 * Heartbeat of a worker (protocol, Workers).
 *
 * @param machine id of the machine
 * @param address host and port of the worker's own server
 * @param type name of the machine type
 * @param zone zone of the machine
 * @param spot whether the cloud may interrupt the machine
 * @param session session of the worker process; a restart begins a larger one
 * @param sequence number of the heartbeat within the session; it only grows
 * @param fencingToken largest fencing token that the worker has accepted; 0: none
 * @param interruptionNoticeS s until the cloud takes the machine; null: no notice
 * @param tasks all tasks that the worker knows, exited ones until they are removed
 */
public record Heartbeat(
    String machine,
    String address,
    String type,
    String zone,
    boolean spot,
    long session,
    long sequence,
    long fencingToken,
    Double interruptionNoticeS,
    List<TaskReport> tasks) {}
