package mallowstall.core.model;

/**
 * The present process of a controller; stored on its lease, so that it goes when the process does.
 *
 * @param node name of the controller
 * @param incarnation incarnation of the process
 */
public record SessionEntry(String node, long incarnation) implements StoredEntry {}
