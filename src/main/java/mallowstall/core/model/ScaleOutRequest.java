package mallowstall.core.model;

/** A request to rent machines, under a name that is never used again. */
public record ScaleOutRequest(String name, String type, String zone, boolean spot, int count) {}
