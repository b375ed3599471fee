package mallowstall.core.model;

import java.util.List;

/**
 * Builds what machine leaders publish of a machine, for tests. Unless set otherwise it is an empty,
 * usable on-demand machine of 8 cpus in zone {@code a}, which no notice ends.
 */
public final class MachineStatusBuilder {
  private final String id;
  private boolean needsReplacement;
  private double interruptionNoticeS = -1;
  private List<TaskStatus> tasks = List.of();

  private MachineStatusBuilder(String id) {
    this.id = id;
  }

  /** The status of the machine of this name. */
  public static MachineStatusBuilder statusOf(String id) {
    return new MachineStatusBuilder(id);
  }

  /** Whether its leader wants it replaced. */
  public MachineStatusBuilder needsReplacement(boolean value) {
    needsReplacement = value;
    return this;
  }

  /** Seconds until the cloud takes it away; negative: it has given no notice. */
  public MachineStatusBuilder interruptionNoticeS(double value) {
    interruptionNoticeS = value;
    return this;
  }

  /** The tasks on it. */
  public MachineStatusBuilder tasks(List<TaskStatus> value) {
    tasks = value;
    return this;
  }

  /** The status as set so far, newer than any that a simulated controller publishes. */
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
