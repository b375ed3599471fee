package mallowstall.core.model;

/** A machine as the cloud lists it. */
public record ListedMachine(
    String id, String type, String zone, boolean spot, String state, double ageS) {}
