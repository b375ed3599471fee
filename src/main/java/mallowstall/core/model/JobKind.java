package mallowstall.core.model;

/** How the tasks of a job end: those of a batch by themselves, those of a service if cancelled. */
public enum JobKind {
  BATCH,
  SERVICE
}
