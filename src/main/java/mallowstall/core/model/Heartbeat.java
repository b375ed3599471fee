package mallowstall.core.model;

import java.util.List;

/** What a worker says of itself. */
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
