package mallowstall.config;

import java.util.List;
import mallowstall.config.Settings.Facts;
import mallowstall.config.Settings.Invalid;
import mallowstall.net.SocketAddresses;

/** Checks settings. Each error names the field and what was expected. */
final class SettingsValidator {
  /**
   * Minimum memory of a controller's machine in MB (docs/operations.md). A process that reaches the
   * limit of its machine is killed even in the middle of an operation.
   */
  private static final int MEMORY_MIN_MB = 100;

  private static final int MIN_TXN_OPS = 2;
  private static final int MIN_CONNECTIONS = 50;

  private SettingsValidator() {}

  static void check(Settings settings) throws Invalid {
    text("node", settings.node());
    address("listen", settings.listen());
    address("peer_bind", settings.peerListen());
    checkPeers(settings.peers());
    Settings.Endpoints endpoints = settings.endpoints();
    if (endpoints == null) {
      throw new Invalid("endpoints is missing: expected an object with cloud and state");
    }
    address("endpoints.cloud", endpoints.cloud());
    address("endpoints.state", endpoints.state());
    object("facts", settings.facts());
    check(settings.facts());
  }

  private static void checkPeers(List<Settings.Peer> peers) throws Invalid {
    if (peers == null) {
      return;
    }
    for (int i = 0; i < peers.size(); i++) {
      text("known[" + i + "].node", peers.get(i).node());
      address("known[" + i + "].addr", peers.get(i).addr());
    }
  }

  private static void check(Facts facts) throws Invalid {
    checkTeams(facts.teams());
    Settings.Workers workers = facts.workers();
    object("facts.workers", workers);
    positive("facts.workers.report_s", workers.reportS());
    positive("facts.workers.lease_s", workers.leaseS());
    positive("facts.workers.cancel_s", workers.cancelS());
    checkState(facts.state());
    Settings.Cloud cloud = facts.cloud();
    object("facts.cloud", cloud);
    positive("facts.cloud.rps", cloud.rps());
    positive("facts.cloud.list_lag_s", cloud.listLagS());
    checkLimits(facts.limits());
    if (facts.skewMs() == null || facts.skewMs() < 0) {
      throw new Invalid("facts.skew_ms must be a number of 0 or more");
    }
  }

  private static void checkTeams(List<Settings.Team> teams) throws Invalid {
    if (teams == null) {
      throw new Invalid("facts.teams is missing: expected a list");
    }
    for (int i = 0; i < teams.size(); i++) {
      text("facts.teams[" + i + "].name", teams.get(i).name());
    }
  }

  private static void checkState(Settings.State state) throws Invalid {
    object("facts.state", state);
    positive("facts.state.rps", state.rps());
    positive("facts.state.write_rps", state.writeRps());
    positive("facts.state.value_kb", state.valueKb());
    transactionSize("facts.state.txn_ops", state.txnOps());
    Settings.NextState next = state.next();
    if (next == null) {
      return;
    }
    if (next.rps() != null) {
      positive("facts.state.next.rps", next.rps());
    }
    if (next.writeRps() != null) {
      positive("facts.state.next.write_rps", next.writeRps());
    }
    if (next.valueKb() != null) {
      positive("facts.state.next.value_kb", next.valueKb());
    }
    if (next.txnOps() != null) {
      transactionSize("facts.state.next.txn_ops", next.txnOps());
    }
  }

  private static void checkLimits(Settings.Limits limits) throws Invalid {
    if (limits == null) {
      return;
    }
    if (limits.maxConnections() != null && limits.maxConnections() < MIN_CONNECTIONS) {
      throw new Invalid("facts.machine_limits.fd_limit must be " + MIN_CONNECTIONS + " or more");
    }
    if (limits.memoryMb() != null && limits.memoryMb() < MEMORY_MIN_MB) {
      throw new Invalid("facts.machine_limits.ram_mb must be " + MEMORY_MIN_MB + " or more");
    }
  }

  private static void object(String path, Object value) throws Invalid {
    if (value == null) {
      throw new Invalid(path + " is missing: expected an object");
    }
  }

  private static void text(String path, String value) throws Invalid {
    if (value == null || value.isEmpty()) {
      throw new Invalid(path + " is missing: expected text");
    }
  }

  private static void positive(String path, Double value) throws Invalid {
    if (value == null || !(value > 0) || value.isInfinite()) {
      throw new Invalid(path + " must be a number above 0");
    }
  }

  private static void transactionSize(String path, Integer value) throws Invalid {
    if (value == null || value < MIN_TXN_OPS) {
      throw new Invalid(path + " must be a whole number above " + (MIN_TXN_OPS - 1));
    }
  }

  private static void address(String path, String value) throws Invalid {
    text(path, value);
    try {
      SocketAddresses.parse(value);
    } catch (IllegalArgumentException invalid) {
      throw new Invalid(path + " must be an address like 10.0.0.1:8080", invalid);
    }
  }
}
