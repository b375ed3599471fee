package mallowstall.core.model;

import java.util.List;

/** A controller's free room and waiting work, for all to see. */
public record DigestEntry(long incarnation, List<FreeCapacity> freeCapacities, double pendingCpus)
    implements StoredEntry {}
