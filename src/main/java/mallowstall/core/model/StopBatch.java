package mallowstall.core.model;

import java.util.List;

/** Stops and drains from a holder, or from whoever has the cloud duty, to an owner. */
public record StopBatch(
    String node, long incarnation, List<StopRequest> stops, List<String> machinesToDrain)
    implements PeerMessage {}
