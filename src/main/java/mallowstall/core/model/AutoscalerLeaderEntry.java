package mallowstall.core.model;

/**
 * Names the controller that leads the autoscaler. The entry is stored on the lease of that
 * controller's session.
 *
 * @param node the controller that leads the autoscaler
 * @param incarnation incarnation of that controller
 */
public record AutoscalerLeaderEntry(String node, long incarnation) implements StoredEntry {}
