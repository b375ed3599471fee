package mallowstall.core.model;

/** Priorities of jobs, lowest first; their order is compared. */
public enum Priority {
  LOW,
  NORMAL,
  HIGH,
  PRODUCTION;

  /** Whether jobs of this priority may preempt others and have machines reserved for them. */
  public boolean isUrgent() {
    return compareTo(HIGH) >= 0;
  }
}
