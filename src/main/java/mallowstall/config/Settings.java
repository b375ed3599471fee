package mallowstall.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import mallowstall.Constants;
import mallowstall.json.JsonReader;
import mallowstall.json.WrongTypeException;

/** The platform's settings file, checked. Unknown fields are ignored. */
public record Settings(
    String node,
    String zone,
    String listen,
    String peerListen,
    List<Peer> peers,
    Endpoints endpoints,
    Facts facts) {

  /** Another controller and where it listens for its peers. */
  public record Peer(String node, String zone, String addr) {}

  /** Where the cloud and the state service are. */
  public record Endpoints(String cloud, String state) {}

  /** A team's guarantee and limit; 0 is none. */
  public record Team(String name, double cpus, double cpusMax, double gpus, double gpusMax) {}

  /** An aim of the operators for a class of jobs. */
  public record Objective(String kind, String jobClass, Double times) {}

  /** How workers report, and how long their leases last. */
  public record Workers(Double reportS, Double leaseS, Double cancelS) {}

  /** Limits of the state service. */
  public record State(Double rps, Double writeRps, Double valueKb, Integer txnOps, NextState next) {
    /** These limits, field by field the smaller ones of now and of later. */
    public State lowest() {
      if (next == null) {
        return this;
      }
      return new State(
          lower(rps, next.rps),
          lower(writeRps, next.writeRps),
          lower(valueKb, next.valueKb),
          next.txnOps == null ? txnOps : (Integer) Math.min(txnOps, next.txnOps),
          null);
    }

    private static Double lower(Double now, Double later) {
      return later == null ? now : (Double) Math.min(now, later);
    }
  }

  /**
   * Limits that the state service will have from some moment on, without notice; those absent stay
   * as they are.
   */
  public record NextState(Double rps, Double writeRps, Double valueKb, Integer txnOps) {}

  /** Limits of the cloud. */
  public record Cloud(Double rps, Double listLagS) {}

  /** Limits of the machine that the controller runs on. */
  public record Limits(Integer maxConnections, Double memoryMb) {}

  /** What all controllers of the deployment share. */
  public record Facts(
      List<Team> teams,
      List<Objective> objectives,
      Workers workers,
      State state,
      Cloud cloud,
      Limits limits,
      Double skewMs) {
    private void check() throws Invalid {
      if (teams == null) {
        throw new Invalid("facts.teams is missing: expected a list");
      }
      for (int i = 0; i < teams.size(); i++) {
        text("facts.teams[" + i + "].name", teams.get(i).name);
      }
      if (workers == null) {
        throw new Invalid("facts.workers is missing: expected an object");
      }
      positive("facts.workers.report_s", workers.reportS);
      positive("facts.workers.lease_s", workers.leaseS);
      positive("facts.workers.cancel_s", workers.cancelS);
      if (state == null) {
        throw new Invalid("facts.state is missing: expected an object");
      }
      positive("facts.state.rps", state.rps);
      positive("facts.state.write_rps", state.writeRps);
      positive("facts.state.value_kb", state.valueKb);
      if (state.txnOps == null || state.txnOps < 2) {
        throw new Invalid("facts.state.txn_ops must be a whole number above 1");
      }
      checkNext(state.next);
      if (cloud == null) {
        throw new Invalid("facts.cloud is missing: expected an object");
      }
      positive("facts.cloud.rps", cloud.rps);
      positive("facts.cloud.list_lag_s", cloud.listLagS);
      if (limits != null && limits.maxConnections != null && limits.maxConnections < 50) {
        throw new Invalid("facts.machine_limits.fd_limit must be 50 or more");
      }
      if (limits != null
          && limits.memoryMb != null
          && limits.memoryMb < Constants.MEMORY_LEAST_MB) {
        throw new Invalid(
            "facts.machine_limits.ram_mb must be " + Constants.MEMORY_LEAST_MB + " or more");
      }
      if (skewMs == null || skewMs < 0) {
        throw new Invalid("facts.skew_ms must be a number of 0 or more");
      }
    }
  }

  /** Settings that can't be used; the message names the field and what was expected. */
  public static final class Invalid extends Exception {
    private static final long serialVersionUID = 1;

    /** Settings that can't be used, and why. */
    public Invalid(String m) {
      super(m);
    }
  }

  /** Reads a settings file. */
  public static Settings load(Path file) throws Invalid {
    byte[] b;
    try {
      b = Files.readAllBytes(file);
    } catch (IOException failure) {
      throw new Invalid(file + " can't be read");
    }
    return parse(b);
  }

  /** Reads settings from JSON. */
  public static Settings parse(byte[] b) throws Invalid {
    Settings settings;
    try {
      settings = JsonReader.read(b, SettingsReader::settings);
    } catch (WrongTypeException wrong) {
      throw new Invalid(
          (wrong.path().isEmpty() ? "the file" : wrong.path()) + " has the wrong type");
    } catch (JsonProcessingException failure) {
      throw new Invalid(
          "not JSON (line "
              + failure.getLocation().getLineNr()
              + ", column "
              + failure.getLocation().getColumnNr()
              + ")");
    } catch (IOException error) {
      throw new Invalid("can't be read");
    }
    if (settings == null) {
      throw new Invalid("the file holds no object");
    }
    settings.check();
    return settings;
  }

  private void check() throws Invalid {
    text("node", node);
    address("listen", listen);
    address("peer_bind", peerListen);
    if (peers != null) {
      for (int i = 0; i < peers.size(); i++) {
        text("known[" + i + "].node", peers.get(i).node);
        address("known[" + i + "].addr", peers.get(i).addr);
      }
    }
    if (endpoints == null) {
      throw new Invalid("endpoints is missing: expected an object with cloud and state");
    }
    address("endpoints.cloud", endpoints.cloud);
    address("endpoints.state", endpoints.state);
    if (facts == null) {
      throw new Invalid("facts is missing: expected an object");
    }
    facts.check();
  }

  private static void checkNext(NextState next) throws Invalid {
    if (next == null) {
      return;
    }
    if (next.rps != null) {
      positive("facts.state.next.rps", next.rps);
    }
    if (next.writeRps != null) {
      positive("facts.state.next.write_rps", next.writeRps);
    }
    if (next.valueKb != null) {
      positive("facts.state.next.value_kb", next.valueKb);
    }
    if (next.txnOps != null && next.txnOps < 2) {
      throw new Invalid("facts.state.next.txn_ops must be a whole number above 1");
    }
  }

  private static void text(String path, String v) throws Invalid {
    if (v == null || v.isEmpty()) {
      throw new Invalid(path + " is missing: expected text");
    }
  }

  private static void positive(String path, Double v) throws Invalid {
    if (v == null || !(v > 0) || v.isInfinite()) {
      throw new Invalid(path + " must be a number above 0");
    }
  }

  private static void address(String path, String v) throws Invalid {
    text(path, v);
    try {
      address(v);
    } catch (IllegalArgumentException e) {
      throw new Invalid(path + " must be an address like 10.0.0.1:8080");
    }
  }

  /** An IP number with a port; names are never looked up. */
  public static InetSocketAddress address(String v) {
    int colon = v.lastIndexOf(':');
    if (colon < 7 || !v.substring(0, colon).matches("[0-9]{1,3}(\\.[0-9]{1,3}){3}")) {
      throw new IllegalArgumentException("not an IP number and port");
    }
    return new InetSocketAddress(v.substring(0, colon), Integer.parseInt(v.substring(colon + 1)));
  }
}
