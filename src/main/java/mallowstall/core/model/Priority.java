package mallowstall.core.model;

/** Priorities, lowest first. */
public enum Priority {
  LOW,
  NORMAL,
  HIGH,
  PRODUCTION
}
