package mallowstall.core.model;

/** Versions of this program, which controllers publish to each other in a {@link VersionEntry}. */
public final class ProgramVersion {
  /** The controller has published no version: it never ran, or its version has no services. */
  public static final int UNKNOWN = 0;

  /** The first version that supports services and completion bitmaps in the compact layout. */
  public static final int WITH_SERVICES = 1;

  /** The first version that announces to its peers how jobs have ended. */
  public static final int WITH_OUTCOME_ANNOUNCEMENTS = 2;

  /**
   * The first version that queries its peers before it responds to users that a job was never
   * accepted.
   */
  public static final int WITH_ACCEPTANCE_QUERIES = 3;

  /**
   * The first version whose leases on the absence of a job last as long as a response that denies
   * the job may be in transit. This version also discards what depends on a lease when the process
   * that granted it was replaced.
   */
  public static final int WITH_LASTING_LEASES = 4;

  /** The first version that answers its peers' questions whether tasks of a job are running. */
  public static final int WITH_RUN_STATE_QUERIES = 5;

  /** The version of this program. */
  public static final int CURRENT = WITH_RUN_STATE_QUERIES;

  private ProgramVersion() {}
}
