package mallowstall.core.model;

import java.util.List;

/**
 * Response to a heartbeat (protocol, Workers).
 *
 * @param status HTTP status
 * @param fencingToken fencing token of the machine leader; used with status 200 only
 * @param commands commands that the worker executes; used with status 200 only
 * @param redirectTo controller to which the worker should report, with status 421, or null if the
 *     worker chooses one
 */
public record HeartbeatResponse(
    int status, long fencingToken, List<WorkerCommand> commands, String redirectTo) {
  private static final int OK = 200;
  private static final int MISDIRECTED_REQUEST = 421;
  private static final int SERVICE_UNAVAILABLE = 503;

  /** Returns 200: the worker stays with this leader and executes the commands. */
  public static HeartbeatResponse accepted(long fencingToken, List<WorkerCommand> commands) {
    return new HeartbeatResponse(OK, fencingToken, commands, null);
  }

  /** Returns 421: the worker should report to the given controller. */
  public static HeartbeatResponse redirect(String node) {
    return new HeartbeatResponse(MISDIRECTED_REQUEST, 0, List.of(), node);
  }

  /** Returns 503: this controller can't lead the machine now. */
  public static HeartbeatResponse unavailable() {
    return new HeartbeatResponse(SERVICE_UNAVAILABLE, 0, List.of(), null);
  }
}
