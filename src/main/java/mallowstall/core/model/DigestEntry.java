package mallowstall.core.model;

import java.util.List;

/**
 * A controller's free capacity and queued work. It is stored every few seconds for controllers that
 * receive no status updates.
 *
 * @param incarnation incarnation of the controller that wrote the entry
 * @param freeCapacities free capacity of its machines
 * @param pendingCpus processors of the tasks that wait for a machine, of all jobs that the
 *     controller leads
 */
public record DigestEntry(long incarnation, List<FreeCapacity> freeCapacities, double pendingCpus)
    implements StoredEntry {}
