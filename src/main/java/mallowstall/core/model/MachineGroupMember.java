package mallowstall.core.model;

/** A machine of a group. */
public record MachineGroupMember(String id, String type, String zone, boolean spot) {}
