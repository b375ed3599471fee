package mallowstall.core.model;

/**
 * The program version of a controller process. The entry is written together with the session
 * entry.
 *
 * @param node name of the controller
 * @param incarnation incarnation of the process
 * @param programVersion the version; see {@link ProgramVersion}
 */
public record VersionEntry(String node, long incarnation, int programVersion)
    implements StoredEntry {}
