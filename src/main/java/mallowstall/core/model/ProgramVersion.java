package mallowstall.core.model;

/** Versions of this program, as controllers show them to each other in the state service. */
public final class ProgramVersion {
  /** A controller that has shown no version: it never ran, or runs a version without services. */
  public static final int UNKNOWN = 0;

  /** The first version that knows services and bitmaps in small pieces. */
  public static final int WITH_SERVICES = 1;

  /** The version of this program. */
  public static final int CURRENT = WITH_SERVICES;

  private ProgramVersion() {}
}
