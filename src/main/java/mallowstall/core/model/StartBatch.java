package mallowstall.core.model;

import java.util.List;

/** Starts from a holder to an owner. */
public record StartBatch(
    String node, long incarnation, long connection, long sequence, List<StartRequest> starts)
    implements PeerMessage {}
