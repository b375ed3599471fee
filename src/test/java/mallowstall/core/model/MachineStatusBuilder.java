package mallowstall.core.model;

import java.util.List;

/**
 * Builds machine statuses, as machine leaders publish them, for tests. By default the machine is
 * empty, usable and on demand, has 8 cpus, is in zone {@code a}, and has no interruption notice.
 */
public final class MachineStatusBuilder {
  private final String id;
  private boolean needsReplacement;
  private double interruptionNoticeS = -1;
  private List<TaskStatus> tasks = List.of();

  private MachineStatusBuilder(String id) {
    this.id = id;
  }

  /** Returns a builder for the status of the machine with this id. */
  public static MachineStatusBuilder statusOf(String id) {
    return new MachineStatusBuilder(id);
  }

  /** Sets whether the machine leader marks the machine as faulty and to be replaced. */
  public MachineStatusBuilder needsReplacement(boolean value) {
    needsReplacement = value;
    return this;
  }

  /** Sets the seconds until the cloud interrupts the machine; negative if it gave no notice. */
  public MachineStatusBuilder interruptionNoticeS(double value) {
    interruptionNoticeS = value;
    return this;
  }

  /** Sets the tasks on the machine. */
  public MachineStatusBuilder tasks(List<TaskStatus> value) {
    tasks = value;
    return this;
  }

  /**
   * Returns the status with the values set so far. It is newer than any status that a simulated
   * controller publishes.
   */
  public MachineStatus build() {
    return new MachineStatus(
        id,
        id,
        1,
        1L << 40,
        1,
        1,
        true,
        true,
        false,
        needsReplacement,
        false,
        false,
        "t8",
        "a",
        false,
        interruptionNoticeS,
        8,
        0,
        32,
        1,
        List.of(),
        tasks);
  }
}
