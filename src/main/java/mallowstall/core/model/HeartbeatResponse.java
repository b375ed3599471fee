package mallowstall.core.model;

import java.util.List;

/** Answer to a report. */
public record HeartbeatResponse(
    int status, long fencingToken, List<WorkerCommand> commands, String redirectTo) {
  /** The worker stays, and executes these commands. */
  public static HeartbeatResponse accepted(long fencingToken, List<WorkerCommand> commands) {
    return new HeartbeatResponse(200, fencingToken, commands, null);
  }

  /** The worker reports to that controller instead. */
  public static HeartbeatResponse redirect(String node) {
    return new HeartbeatResponse(421, 0, List.of(), node);
  }

  /** This controller can't answer for the machine now. */
  public static HeartbeatResponse unavailable() {
    return new HeartbeatResponse(503, 0, List.of(), null);
  }
}
