package mallowstall.core.cluster;

import mallowstall.core.kv.StateKeys;
import mallowstall.core.kv.StateStore;
import mallowstall.core.kv.StoredValue;
import mallowstall.core.model.CoreSettings;
import mallowstall.core.model.ProgramVersion;
import mallowstall.core.model.SessionEntry;
import mallowstall.core.model.VersionEntry;

/**
 * The lowest program version that every configured controller has shown in the state service. What
 * an older version would misread is stored or sent only once this is high enough.
 */
public final class ClusterVersion {
  private final CoreSettings settings;
  private final StateStore store;

  /** Reads the versions that the replica holds, for the controllers in the settings. */
  public ClusterVersion(CoreSettings settings, StateStore store) {
    this.settings = settings;
    this.store = store;
  }

  /** Whether every controller knows services. */
  public boolean allowsServices() {
    return lowestVersion() >= ProgramVersion.WITH_SERVICES;
  }

  /** Whether every controller reads done bits in small pieces. */
  public boolean allowsSmallPieces() {
    return lowestVersion() >= ProgramVersion.WITH_SERVICES;
  }

  /** Whether every controller knows the messages by which outcomes of jobs are announced. */
  public boolean allowsOutcomeAnnouncements() {
    return lowestVersion() >= ProgramVersion.WITH_OUTCOME_ANNOUNCEMENTS;
  }

  /** Whether a refusal may rest on the leases that peers grant when asked about acceptances. */
  public boolean allowsAcceptanceQueries() {
    return lowestVersion() >= ProgramVersion.WITH_LASTING_LEASES;
  }

  private int lowestVersion() {
    int lowest = publishedVersion(settings.node());
    for (String peer : settings.peers()) {
      lowest = Math.min(lowest, publishedVersion(peer));
    }
    return lowest;
  }

  /**
   * A process of an older version leaves its predecessor's entry as it is, but takes a session of
   * its own: an entry that doesn't belong to the present session says nothing. Without a session
   * the node is down and comes back with the version it had.
   */
  private int publishedVersion(String node) {
    StoredValue stored = store.entry(StateKeys.version(node));
    if (stored == null) {
      return ProgramVersion.UNKNOWN;
    }
    VersionEntry versionEntry = (VersionEntry) stored.value();
    StoredValue session = store.entry(StateKeys.session(node));
    boolean isCurrent =
        session == null
            || ((SessionEntry) session.value()).incarnation() == versionEntry.incarnation();
    return isCurrent ? versionEntry.programVersion() : ProgramVersion.UNKNOWN;
  }
}
