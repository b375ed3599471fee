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
 * @param session number of the worker session; a restart of the worker process begins a session
 *     with a larger number
 * @param sequence number of the heartbeat within the session; it only increases
 * @param fencingToken largest fencing token that the worker has accepted, or 0 if none
 * @param interruptionNoticeS time in seconds until the cloud takes the machine, or null without a
 *     notice
 * @param tasks all tasks that the worker lists; exited ones are listed until they are removed
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
