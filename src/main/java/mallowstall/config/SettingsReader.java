package mallowstall.config;

import java.io.IOException;
import java.util.List;
import mallowstall.json.JsonReader;

/**
 * Reads the parts of a settings file without checks. Parts that are absent from the file are null.
 */
final class SettingsReader {
  private SettingsReader() {}

  /** Reads a settings file without checks. Returns null if the file holds the JSON value null. */
  static Settings settings(JsonReader in) throws IOException {
    if (!in.enterObjectIfPresent()) {
      return null;
    }
    String node = null;
    String zone = null;
    String listen = null;
    String peerListen = null;
    List<Settings.Peer> peers = null;
    Settings.Endpoints endpoints = null;
    Settings.Facts facts = null;
    while (in.nextField()) {
      switch (in.field()) {
        case "node" -> node = in.string();
        case "location" -> zone = in.string();
        case "listen" -> listen = in.string();
        case "peer_bind" -> peerListen = in.string();
        case "known" -> peers = in.list(SettingsReader::peer);
        case "endpoints" -> endpoints = endpoints(in);
        case "facts" -> facts = facts(in);
        default -> in.skip();
      }
    }
    return new Settings(node, zone, listen, peerListen, peers, endpoints, facts);
  }

  private static Settings.Peer peer(JsonReader in) throws IOException {
    if (!in.enterObjectIfPresent()) {
      return null;
    }
    String node = null;
    String zone = null;
    String addr = null;
    while (in.nextField()) {
      switch (in.field()) {
        case "node" -> node = in.string();
        case "location" -> zone = in.string();
        case "addr" -> addr = in.string();
        default -> in.skip();
      }
    }
    return new Settings.Peer(node, zone, addr);
  }

  private static Settings.Endpoints endpoints(JsonReader in) throws IOException {
    if (!in.enterObjectIfPresent()) {
      return null;
    }
    String cloud = null;
    String state = null;
    while (in.nextField()) {
      switch (in.field()) {
        case "cloud" -> cloud = in.string();
        case "state" -> state = in.string();
        default -> in.skip();
      }
    }
    return new Settings.Endpoints(cloud, state);
  }

  private static Settings.Facts facts(JsonReader in) throws IOException {
    if (!in.enterObjectIfPresent()) {
      return null;
    }
    List<Settings.Team> teams = null;
    List<Settings.Objective> objectives = null;
    Settings.Workers workers = null;
    Settings.State state = null;
    Settings.Cloud cloud = null;
    Settings.Limits limits = null;
    Double skewMs = null;
    while (in.nextField()) {
      switch (in.field()) {
        case "teams" -> teams = in.list(SettingsReader::team);
        case "objectives" -> objectives = in.list(SettingsReader::objective);
        case "workers" -> workers = workers(in);
        case "state" -> state = state(in);
        case "cloud" -> cloud = cloud(in);
        case "machine_limits" -> limits = limits(in);
        case "skew_ms" -> skewMs = in.doubleOrNull();
        default -> in.skip();
      }
    }
    return new Settings.Facts(teams, objectives, workers, state, cloud, limits, skewMs);
  }

  private static Settings.Team team(JsonReader in) throws IOException {
    if (!in.enterObjectIfPresent()) {
      return null;
    }
    String name = null;
    double cpus = 0;
    double cpusMax = 0;
    double gpus = 0;
    double gpusMax = 0;
    while (in.nextField()) {
      switch (in.field()) {
        case "name" -> name = in.string();
        case "cpus" -> cpus = in.doubleOrZero();
        case "cpus_max" -> cpusMax = in.doubleOrZero();
        case "gpus" -> gpus = in.doubleOrZero();
        case "gpus_max" -> gpusMax = in.doubleOrZero();
        default -> in.skip();
      }
    }
    return new Settings.Team(name, cpus, cpusMax, gpus, gpusMax);
  }

  private static Settings.Objective objective(JsonReader in) throws IOException {
    if (!in.enterObjectIfPresent()) {
      return null;
    }
    String kind = null;
    String jobClass = null;
    Double times = null;
    while (in.nextField()) {
      switch (in.field()) {
        case "kind" -> kind = in.string();
        case "class" -> jobClass = in.string();
        case "times" -> times = in.doubleOrNull();
        default -> in.skip();
      }
    }
    return new Settings.Objective(kind, jobClass, times);
  }

  private static Settings.Workers workers(JsonReader in) throws IOException {
    if (!in.enterObjectIfPresent()) {
      return null;
    }
    Double reportS = null;
    Double leaseS = null;
    Double cancelS = null;
    while (in.nextField()) {
      switch (in.field()) {
        case "report_s" -> reportS = in.doubleOrNull();
        case "lease_s" -> leaseS = in.doubleOrNull();
        case "cancel_s" -> cancelS = in.doubleOrNull();
        default -> in.skip();
      }
    }
    return new Settings.Workers(reportS, leaseS, cancelS);
  }

  private static Settings.State state(JsonReader in) throws IOException {
    if (!in.enterObjectIfPresent()) {
      return null;
    }
    StateLimits limits = new StateLimits();
    Settings.NextState next = null;
    while (in.nextField()) {
      if (in.field().equals("next")) {
        next = nextState(in);
      } else {
        limits.read(in);
      }
    }
    return new Settings.State(limits.rps, limits.writeRps, limits.valueKb, limits.txnOps, next);
  }

  private static Settings.NextState nextState(JsonReader in) throws IOException {
    if (!in.enterObjectIfPresent()) {
      return null;
    }
    StateLimits limits = new StateLimits();
    while (in.nextField()) {
      limits.read(in);
    }
    return new Settings.NextState(limits.rps, limits.writeRps, limits.valueKb, limits.txnOps);
  }

  /** The current or the later limits of the state service. Limits that the file lacks are null. */
  private static final class StateLimits {
    private Double rps;
    private Double writeRps;
    private Double valueKb;
    private Integer txnOps;

    /** Reads the current field of the reader, or skips it if it isn't a limit. */
    void read(JsonReader in) throws IOException {
      switch (in.field()) {
        case "rps" -> rps = in.doubleOrNull();
        case "write_rps" -> writeRps = in.doubleOrNull();
        case "value_kb" -> valueKb = in.doubleOrNull();
        case "txn_ops" -> txnOps = in.intOrNull();
        default -> in.skip();
      }
    }
  }

  private static Settings.Cloud cloud(JsonReader in) throws IOException {
    if (!in.enterObjectIfPresent()) {
      return null;
    }
    Double rps = null;
    Double listLagS = null;
    while (in.nextField()) {
      switch (in.field()) {
        case "rps" -> rps = in.doubleOrNull();
        case "list_lag_s" -> listLagS = in.doubleOrNull();
        default -> in.skip();
      }
    }
    return new Settings.Cloud(rps, listLagS);
  }

  private static Settings.Limits limits(JsonReader in) throws IOException {
    if (!in.enterObjectIfPresent()) {
      return null;
    }
    Integer maxConnections = null;
    Double memoryMb = null;
    while (in.nextField()) {
      switch (in.field()) {
        case "fd_limit" -> maxConnections = in.intOrNull();
        case "ram_mb" -> memoryMb = in.doubleOrNull();
        default -> in.skip();
      }
    }
    return new Settings.Limits(maxConnections, memoryMb);
  }
}
