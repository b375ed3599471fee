package mallowstall.core.model;

/** The program version of a controller's process, written together with its session. */
public record VersionEntry(String node, long incarnation, int programVersion)
    implements StoredEntry {}
