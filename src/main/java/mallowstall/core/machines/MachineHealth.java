package mallowstall.core.machines;

/** Whether a machine is to be avoided or replaced since tasks fail on it. Mutable. */
final class MachineHealth {
  /** Number of consecutive errors, without a success in between, that quarantine a machine. */
  private static final int QUARANTINE_ERRORS = 2;

  /** Number of consecutive errors after which a machine is to be replaced. */
  private static final int REPLACEMENT_ERRORS = 3;

  /** Time in milliseconds for which a quarantined machine gets no tasks; then it is used again. */
  private static final long QUARANTINE_MS = 25_000;

  private long quarantineUntilMs;
  private int consecutiveErrors;
  private boolean faulty;

  /** Records that a task succeeded, which ends a series of consecutive errors. */
  void recordSuccess() {
    consecutiveErrors = 0;
  }

  /**
   * Records that a task failed on the machine and that its job is not at fault. The machine is
   * quarantined from {@link #QUARANTINE_ERRORS} consecutive errors on and marked as faulty from
   * {@link #REPLACEMENT_ERRORS} on.
   */
  void recordError(long now) {
    consecutiveErrors++;
    if (consecutiveErrors >= QUARANTINE_ERRORS) {
      quarantineUntilMs = now + QUARANTINE_MS;
      if (consecutiveErrors >= REPLACEMENT_ERRORS) {
        faulty = true;
      }
    }
  }

  /** Returns the number of tasks that failed on the machine since the last success. */
  int consecutiveErrors() {
    return consecutiveErrors;
  }

  /**
   * Returns whether the machine gets no tasks, because {@link #QUARANTINE_ERRORS} or more
   * consecutive tasks failed on it, the last one less than {@link #QUARANTINE_MS} ago.
   */
  boolean quarantined(long now) {
    return quarantineUntilMs > now;
  }

  /**
   * Returns whether {@link #REPLACEMENT_ERRORS} consecutive tasks failed on the machine, so that it
   * is to be replaced.
   */
  boolean faulty() {
    return faulty;
  }
}
