package mallowstall.core.model;

/** Versions of this program that controllers show to each other by a {@link VersionEntry}. */
public final class ProgramVersion {
  /** No version was shown: the controller never ran, or its version has no services. */
  public static final int UNKNOWN = 0;

  /** The first version that knows services and bitmaps in small pieces. */
  public static final int WITH_SERVICES = 1;

  /** The first version that announces to its peers how jobs have ended. */
  public static final int WITH_OUTCOME_ANNOUNCEMENTS = 2;

  /** The first version that asks its peers before it tells users that a job was never accepted. */
  public static final int WITH_ACCEPTANCE_QUERIES = 3;

  /**
   * The first version whose leases on the absence of a job last as long as a refusal may be on its
   * way, and that gives up what rests on a lease when the process that granted it was replaced.
   */
  public static final int WITH_LASTING_LEASES = 4;

  /** The version of this program. */
  public static final int CURRENT = WITH_LASTING_LEASES;

  private ProgramVersion() {}
}
