package mallowstall.core.model;

/**
 * A request to the cloud for new machines.
 *
 * @param name name of the request, which is never used again because the cloud executes each name
 *     once
 * @param type name of the machine type
 * @param zone zone of the requested machines
 * @param spot whether spot machines are requested
 * @param count number of machines
 */
public record ScaleOutRequest(String name, String type, String zone, boolean spot, int count) {}
