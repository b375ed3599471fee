package mallowstall.core;

import mallowstall.core.Model.SessionRec;
import mallowstall.core.Model.VersionRec;

/**
 * The lowest program version that every configured controller has shown in the state service. What
 * an older version would misread is stored or sent only once this is high enough.
 */
public final class ClusterVersion {
  /** A controller that has shown no version: it never ran, or runs a version without services. */
  public static final int UNKNOWN = 0;

  /** The first version that knows services and bitmaps in small pieces. */
  public static final int WITH_SERVICES = 1;

  /** The version of this program. */
  public static final int CURRENT = WITH_SERVICES;

  private final Core core;
  private final Store store;

  ClusterVersion(Core core, Store store) {
    this.core = core;
    this.store = store;
  }

  /** Whether every controller knows services. */
  boolean allowsServices() {
    return lowest() >= WITH_SERVICES;
  }

  /** Whether every controller reads done bits in small pieces. */
  boolean allowsSmallPieces() {
    return lowest() >= WITH_SERVICES;
  }

  private int lowest() {
    int lowest = shownBy(core.node());
    for (String peer : core.settings().peers()) {
      lowest = Math.min(lowest, shownBy(peer));
    }
    return lowest;
  }

  /**
   * A process of an older version leaves its predecessor's entry as it is, but takes a session of
   * its own: an entry that doesn't belong to the present session says nothing. Without a session
   * the node is down and comes back with the version it had.
   */
  private int shownBy(String node) {
    Store.Held entry = store.held(Store.VERSIONS + node);
    if (entry == null) {
      return UNKNOWN;
    }
    VersionRec shown = (VersionRec) entry.value();
    Store.Held session = store.held(Store.SESSIONS + node);
    boolean present =
        session == null || ((SessionRec) session.value()).incarnation() == shown.incarnation();
    return present ? shown.version() : UNKNOWN;
  }
}
