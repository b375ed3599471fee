package mallowstall.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import mallowstall.json.JsonReader;
import mallowstall.json.WrongTypeException;

/**
 * The checked content of the platform's settings file (protocol, Settings). Unknown fields are
 * ignored. Optional fields that are absent are null. Suffixes name the units: seconds (S),
 * milliseconds (Ms), KiB (Kb), MiB (Mb).
 */
public record Settings(
    String node,
    String zone,
    String listen,
    String peerListen,
    List<Peer> peers,
    Endpoints endpoints,
    Facts facts) {

  /** Another controller and the address at which it listens for its peers. */
  public record Peer(String node, String zone, String addr) {}

  /** The addresses of the cloud and the state service. */
  public record Endpoints(String cloud, String state) {}

  /** A team's guaranteed share and its quota (the maximum); 0 means none. */
  public record Team(String name, double cpus, double cpusMax, double gpus, double gpusMax) {}

  /** A service level objective that the operators set for a class of jobs. */
  public record Objective(String kind, String jobClass, Double times) {}

  /** The interval of workers' heartbeats, and the duration of worker leases and cancellations. */
  public record Workers(Double reportS, Double leaseS, Double cancelS) {}

  /** Current limits of the state service; {@code next} is null if no later limits are known. */
  public record State(Double rps, Double writeRps, Double valueKb, Integer txnOps, NextState next) {
    /** Returns for each field the smaller one of the current and the later limit. */
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
   * Limits that apply to the state service at a later time. The state service changes to them
   * without notice. A limit that is absent doesn't change.
   */
  public record NextState(Double rps, Double writeRps, Double valueKb, Integer txnOps) {}

  /** Limits of the cloud. */
  public record Cloud(Double rps, Double listLagS) {}

  /** Limits of the machine on which the controller runs. */
  public record Limits(Integer maxConnections, Double memoryMb) {}

  /** Settings that all controllers of the deployment share. */
  public record Facts(
      List<Team> teams,
      List<Objective> objectives,
      Workers workers,
      State state,
      Cloud cloud,
      Limits limits,
      Double skewMs) {}

  /** Thrown if settings can't be used. The message names the field and what was expected. */
  public static final class Invalid extends Exception {
    private static final long serialVersionUID = 1;

    Invalid(String message) {
      super(message);
    }

    Invalid(String message, Throwable cause) {
      super(message, cause);
    }
  }

  /** Reads and checks a settings file. */
  public static Settings load(Path file) throws Invalid {
    byte[] json;
    try {
      json = Files.readAllBytes(file);
    } catch (IOException failure) {
      throw new Invalid(file + " can't be read", failure);
    }
    return parse(json);
  }

  /** Reads and checks settings in JSON. */
  public static Settings parse(byte[] json) throws Invalid {
    Settings settings;
    try {
      settings = JsonReader.read(json, SettingsReader::settings);
    } catch (WrongTypeException wrong) {
      throw new Invalid(
          (wrong.path().isEmpty() ? "the file" : wrong.path()) + " has the wrong type", wrong);
    } catch (JsonProcessingException failure) {
      throw new Invalid(
          "not JSON (line "
              + failure.getLocation().getLineNr()
              + ", column "
              + failure.getLocation().getColumnNr()
              + ")",
          failure);
    } catch (IOException error) {
      throw new Invalid("can't be read", error);
    }
    if (settings == null) {
      throw new Invalid("the file holds no object");
    }
    SettingsValidator.check(settings);
    return settings;
  }
}
