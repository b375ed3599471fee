package mallowstall.core.cluster;

import mallowstall.core.kv.StateKeys;
import mallowstall.core.kv.StateStore;
import mallowstall.core.kv.StoredValue;
import mallowstall.core.model.CoreSettings;
import mallowstall.core.model.ProgramVersion;
import mallowstall.core.model.SessionEntry;
import mallowstall.core.model.VersionEntry;

/**
 * The lowest of the program versions that the configured controllers have published in the state
 * service. Values and messages that an older version would misread are stored or sent only once the
 * lowest version can read them.
 */
public final class ClusterVersion {
  private final CoreSettings settings;
  private final StateStore store;

  /** Uses the versions in the state replica and the list of controllers in the settings. */
  public ClusterVersion(CoreSettings settings, StateStore store) {
    this.settings = settings;
    this.store = store;
  }

  /** Returns whether every controller supports services. */
  public boolean allowsServices() {
    return lowestVersion() >= ProgramVersion.WITH_SERVICES;
  }

  /** Returns whether every controller reads completion bitmaps in the compact layout. */
  public boolean allowsCompactLayout() {
    return lowestVersion() >= ProgramVersion.WITH_SERVICES;
  }

  /** Returns whether every controller can read announcements of outcomes of jobs. */
  public boolean allowsOutcomeAnnouncements() {
    return lowestVersion() >= ProgramVersion.WITH_OUTCOME_ANNOUNCEMENTS;
  }

  /**
   * Returns whether the leases that peers grant in reply to acceptance queries suffice to reject a
   * user's request because the job was never accepted. Versions that have acceptance queries but
   * shorter leases don't suffice.
   */
  public boolean allowsAbsenceLeases() {
    return lowestVersion() >= ProgramVersion.WITH_LASTING_LEASES;
  }

  /** Returns whether the controller can read questions whether tasks of a job are running. */
  public boolean supportsRunStateQueries(String node) {
    return publishedVersion(node) >= ProgramVersion.WITH_RUN_STATE_QUERIES;
  }

  /**
   * Returns whether some controller certainly runs a version that answers no questions whether
   * tasks of a job are running. A controller whose process has just been replaced may not have
   * published its version yet, and doesn't count.
   */
  public boolean isAnyWithoutRunStateQueries() {
    if (!store.synced()) {
      return false;
    }
    for (String peer : settings.peers()) {
      StoredValue session = store.entry(StateKeys.session(peer));
      boolean hasNeverPublished = session != null && store.entry(StateKeys.version(peer)) == null;
      int version = publishedVersion(peer);
      boolean isOlder =
          version != ProgramVersion.UNKNOWN && version < ProgramVersion.WITH_RUN_STATE_QUERIES;
      if (hasNeverPublished || isOlder) {
        return true;
      }
    }
    return false;
  }

  private int lowestVersion() {
    int lowest = publishedVersion(settings.node());
    for (String peer : settings.peers()) {
      lowest = Math.min(lowest, publishedVersion(peer));
    }
    return lowest;
  }

  /**
   * Returns the version that the node has published, or {@link ProgramVersion#UNKNOWN}. An entry of
   * another incarnation than the current session's is ignored: a process of an older version
   * registers a new session but leaves its predecessor's version entry. A node without a session is
   * down, and is expected to restart with the version in its entry.
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
