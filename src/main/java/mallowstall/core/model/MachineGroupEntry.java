package mallowstall.core.model;

import java.util.List;

/**
 * Machines that one controller registered in one change. Registering hundreds of machines with one
 * change each would take longer than their worker leases last.
 *
 * @param node the leading controller
 * @param incarnation incarnation of the leader
 * @param machines the machines of the group
 */
public record MachineGroupEntry(String node, long incarnation, List<MachineGroupMember> machines)
    implements StoredEntry {}
