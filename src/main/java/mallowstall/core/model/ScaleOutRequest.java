package mallowstall.core.model;

/**
 * A request for new machines.
 *
 * @param name name of the request, never used again: the cloud executes it once
 * @param type name of the machine type
 * @param zone zone that is asked for
 * @param spot whether spot machines are asked for
 * @param count number of machines
 */
public record ScaleOutRequest(String name, String type, String zone, boolean spot, int count) {}
