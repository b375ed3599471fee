package mallowstall.core.model;

/**
 * One machine of a {@link MachineGroupEntry}.
 *
 * @param id id of the machine
 * @param type name of the machine type
 * @param zone zone of the machine
 * @param spot whether the cloud may interrupt the machine
 */
public record MachineGroupMember(String id, String type, String zone, boolean spot) {}
