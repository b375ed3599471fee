package mallowstall.core.model;

import java.util.List;

/**
 * Machines that one controller registered in one change: with a change each, hundreds of machines
 * would outlast their leases.
 *
 * @param node the leading controller
 * @param incarnation its incarnation
 * @param machines the machines of the group
 */
public record MachineGroupEntry(String node, long incarnation, List<MachineGroupMember> machines)
    implements StoredEntry {}
