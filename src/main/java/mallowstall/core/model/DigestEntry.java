package mallowstall.core.model;

import java.util.List;

/**
 * A controller's free capacity and queued work, stored every few seconds for controllers that get
 * no status updates.
 *
 * @param incarnation incarnation of the controller that wrote this
 * @param freeCapacities free capacity of its machines
 * @param pendingCpus processors of the tasks of its led jobs that wait for a machine
 */
public record DigestEntry(long incarnation, List<FreeCapacity> freeCapacities, double pendingCpus)
    implements StoredEntry {}
