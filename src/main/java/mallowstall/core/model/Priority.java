package mallowstall.core.model;

/** Priorities of jobs, lowest first; their order is compared. */
public enum Priority {
  LOW,
  NORMAL,
  HIGH,
  PRODUCTION
}
