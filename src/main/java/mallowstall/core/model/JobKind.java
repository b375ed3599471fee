package mallowstall.core.model;

/** How a job's tasks end: those of a batch by themselves, replicas of a service when cancelled. */
public enum JobKind {
  BATCH,
  SERVICE
}
