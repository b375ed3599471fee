package mallowstall.core.model;

/** Priorities of jobs in ascending order. Comparisons use this order. */
public enum Priority {
  LOW,
  NORMAL,
  HIGH,
  PRODUCTION;

  /**
   * Returns whether jobs of this priority may preempt others and have machines reserved for them.
   */
  public boolean isUrgent() {
    return compareTo(HIGH) >= 0;
  }
}
