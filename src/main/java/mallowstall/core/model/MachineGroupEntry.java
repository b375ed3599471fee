package mallowstall.core.model;

import java.util.List;

/**
 * Machines that turned to one controller at about the same time, taken over in one change: one each
 * took longer than their leases when hundreds changed owner.
 */
public record MachineGroupEntry(String node, long incarnation, List<MachineGroupMember> machines)
    implements StoredEntry {}
