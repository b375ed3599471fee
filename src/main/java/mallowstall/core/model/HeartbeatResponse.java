package mallowstall.core.model;

import java.util.List;

/**
 * Response to a heartbeat (protocol, Workers).
 *
 * @param status HTTP status
 * @param fencingToken token of the machine's leader; counts with 200 only
 * @param commands what the worker is to execute; counts with 200 only
 * @param redirectTo controller to report to, with 421; null: the worker chooses one
 */
public record HeartbeatResponse(
    int status, long fencingToken, List<WorkerCommand> commands, String redirectTo) {
  private static final int OK = 200;
  private static final int MISDIRECTED_REQUEST = 421;
  private static final int SERVICE_UNAVAILABLE = 503;

  /** 200: the worker stays with this leader and executes the commands. */
  public static HeartbeatResponse accepted(long fencingToken, List<WorkerCommand> commands) {
    return new HeartbeatResponse(OK, fencingToken, commands, null);
  }

  /** 421: the worker is to report to that controller. */
  public static HeartbeatResponse redirect(String node) {
    return new HeartbeatResponse(MISDIRECTED_REQUEST, 0, List.of(), node);
  }

  /** 503: this controller can't lead the machine now. */
  public static HeartbeatResponse unavailable() {
    return new HeartbeatResponse(SERVICE_UNAVAILABLE, 0, List.of(), null);
  }
}
