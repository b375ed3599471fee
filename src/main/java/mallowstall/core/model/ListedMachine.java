package mallowstall.core.model;

/**
 * A machine in the cloud's inventory.
 *
 * @param id id of the machine
 * @param type name of the machine type
 * @param zone zone of the machine
 * @param spot whether the cloud may interrupt the machine
 * @param state state of the machine, as named by the cloud (protocol, Cloud)
 * @param ageS time in seconds since the machine was rented
 */
public record ListedMachine(
    String id, String type, String zone, boolean spot, String state, double ageS) {}
