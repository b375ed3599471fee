package mallowstall.core.model;

/**
 * How a job has ended. The value is {@code NONE} while a batch job is open and {@code SERVING}
 * while a service is open.
 *
 * <p>Versions without services can't read {@code SERVING} and treat the entry of an open service as
 * unreadable. They answer 503 for it, and never run it as a batch job or report it as done.
 */
public enum JobOutcome {
  NONE,
  DONE,
  CANCELLED,
  SERVING
}
