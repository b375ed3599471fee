package mallowstall.core.machines;

import java.util.ArrayList;
import java.util.List;
import mallowstall.core.model.Heartbeat;

/**
 * The last report that a worker returned when this controller asked for one, and the request that
 * is in progress, if any. Mutable.
 */
final class MachineInspection {
  /** Stands for a machine whose worker was never asked for a report; never changes. */
  static final MachineInspection NONE = new MachineInspection();

  private Heartbeat report;
  private long requestedMs = Long.MIN_VALUE / 2;
  private long receivedMs;
  private long failedAtMs = Long.MIN_VALUE / 2;
  private List<Runnable> waiting;

  /** Returns the last report, or null if there is none. */
  Heartbeat report() {
    return report;
  }

  /**
   * Returns the steady time in milliseconds at which the last report was requested, or a time far
   * in the past if there is none. The worker composed the report later.
   */
  long requestedMs() {
    return requestedMs;
  }

  /** Returns the steady time in milliseconds at which the last report was received. */
  long receivedMs() {
    return receivedMs;
  }

  /**
   * Returns the steady time in milliseconds at which the last request was given up, or a time far
   * in the past if it was answered or none was sent.
   */
  long failedAtMs() {
    return failedAtMs;
  }

  /** Returns whether a request is in progress. */
  boolean isInProgress() {
    return waiting != null;
  }

  /** Records that a request is sent. */
  void begin() {
    waiting = new ArrayList<>();
  }

  /** Calls {@code callback} when the request that is in progress has ended. */
  void whenEnded(Runnable callback) {
    waiting.add(callback);
  }

  /** Records the result of the request; {@code newReport} is null if the worker didn't answer. */
  void end(Heartbeat newReport, long newRequestedMs, long now) {
    failedAtMs = newReport == null ? now : Long.MIN_VALUE / 2;
    if (newReport != null) {
      report = newReport;
      requestedMs = newRequestedMs;
      receivedMs = now;
    }
    List<Runnable> callbacks = waiting;
    waiting = null;
    callbacks.forEach(Runnable::run);
  }
}
