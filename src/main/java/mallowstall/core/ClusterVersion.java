package mallowstall.core;

import mallowstall.core.Model.CoreSettings;
import mallowstall.core.Model.SessionRec;
import mallowstall.core.Model.VersionRec;

/**
 * The lowest program version that every configured controller has shown in the state service. What
 * an older version would misread is stored or sent only once this is high enough.
 */
final class ClusterVersion {
  private final CoreSettings settings;
  private final Store store;

  ClusterVersion(CoreSettings settings, Store store) {
    this.settings = settings;
    this.store = store;
  }

  /** Whether every controller knows services. */
  boolean allowsServices() {
    return lowest() >= ProgramVersion.WITH_SERVICES;
  }

  /** Whether every controller reads done bits in small pieces. */
  boolean allowsSmallPieces() {
    return lowest() >= ProgramVersion.WITH_SERVICES;
  }

  private int lowest() {
    int lowest = shownBy(settings.node());
    for (String peer : settings.peers()) {
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
      return ProgramVersion.UNKNOWN;
    }
    VersionRec shown = (VersionRec) entry.value();
    Store.Held session = store.held(Store.SESSIONS + node);
    boolean present =
        session == null || ((SessionRec) session.value()).incarnation() == shown.incarnation();
    return present ? shown.version() : ProgramVersion.UNKNOWN;
  }
}
