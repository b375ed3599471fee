package mallowstall.core.model;

/**
 * Which controller runs the autoscaler; stored on the lease of its session.
 *
 * @param node the leading controller
 * @param incarnation its incarnation
 */
public record AutoscalerLeaderEntry(String node, long incarnation) implements StoredEntry {}
