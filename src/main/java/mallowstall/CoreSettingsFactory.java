package mallowstall;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import mallowstall.config.Settings;
import mallowstall.core.model.CoreSettings;
import mallowstall.core.model.ProgramVersion;
import mallowstall.core.model.Team;

/**
 * Translates the platform's settings into those of the core: their names, and seconds to
 * milliseconds and KiB to bytes.
 */
final class CoreSettingsFactory {
  private CoreSettingsFactory() {}

  /** Returns the core's settings. The given {@code settings} must have been validated. */
  static CoreSettings create(Settings settings) {
    Settings.Facts facts = settings.facts();
    // The time at which the limits fall is unknown, so the lower ones are kept from the start.
    Settings.State state = facts.state().lowest();
    return new CoreSettings(
        settings.node(),
        peers(settings),
        zones(settings),
        teams(facts.teams()),
        toMs(facts.workers().reportS()),
        toMs(facts.workers().leaseS()),
        toMs(facts.workers().cancelS()),
        (long) Math.ceil(facts.skewMs()),
        state.rps(),
        state.writeRps(),
        state.txnOps(),
        (int) (state.valueKb() * 1024),
        facts.cloud().rps(),
        toMs(facts.cloud().listLagS()),
        deadlineMultiples(facts.objectives()),
        ProgramVersion.CURRENT);
  }

  private static long toMs(double seconds) {
    return (long) (seconds * 1000);
  }

  private static List<String> peers(Settings settings) {
    List<String> peers = new ArrayList<>();
    if (settings.peers() != null) {
      for (Settings.Peer peer : settings.peers()) {
        peers.add(peer.node());
      }
    }
    return peers;
  }

  /**
   * Returns the zone of each controller, including this one. The zone is empty if the settings name
   * none.
   */
  private static Map<String, String> zones(Settings settings) {
    Map<String, String> zones = new HashMap<>();
    zones.put(settings.node(), settings.zone() == null ? "" : settings.zone());
    if (settings.peers() != null) {
      for (Settings.Peer peer : settings.peers()) {
        zones.put(peer.node(), peer.zone() == null ? "" : peer.zone());
      }
    }
    return zones;
  }

  private static Map<String, Team> teams(List<Settings.Team> settings) {
    Map<String, Team> teams = new HashMap<>();
    for (Settings.Team team : settings) {
      teams.put(
          team.name(),
          new Team(team.name(), team.cpus(), team.cpusMax(), team.gpus(), team.gpusMax()));
    }
    return teams;
  }

  /**
   * Returns, for each job class, the largest multiple of the deadline that an objective still
   * counts.
   */
  private static Map<String, Double> deadlineMultiples(List<Settings.Objective> objectives) {
    Map<String, Double> multiples = new HashMap<>();
    if (objectives != null) {
      for (Settings.Objective objective : objectives) {
        if ("deadline".equals(objective.kind())
            && objective.jobClass() != null
            && objective.times() != null) {
          multiples.merge(objective.jobClass(), objective.times(), Math::max);
        }
      }
    }
    return multiples;
  }
}
