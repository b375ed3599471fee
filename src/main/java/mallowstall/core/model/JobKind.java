package mallowstall.core.model;

/**
 * The kind of a job. The tasks of a batch job end by themselves, and those of a service end when
 * the job is cancelled.
 */
public enum JobKind {
  BATCH,
  SERVICE
}
