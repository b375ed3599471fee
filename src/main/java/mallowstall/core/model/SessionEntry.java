package mallowstall.core.model;

/**
 * The current process of a controller. The entry is stored on the lease of the process, so that it
 * is deleted when the process ends.
 *
 * @param node name of the controller
 * @param incarnation incarnation of the process
 */
public record SessionEntry(String node, long incarnation) implements StoredEntry {}
