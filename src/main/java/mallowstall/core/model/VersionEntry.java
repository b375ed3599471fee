package mallowstall.core.model;

/**
 * The program version of a controller process, written together with its session.
 *
 * @param node name of the controller
 * @param incarnation incarnation of the process
 * @param programVersion the version; see {@link ProgramVersion}
 */
public record VersionEntry(String node, long incarnation, int programVersion)
    implements StoredEntry {}
