package mallowstall.core.model;

/**
 * How a job has ended; {@code NONE} while a batch job is open, {@code SERVING} while a service is.
 *
 * <p>Versions without services can't read {@code SERVING}, so they take an open service for an
 * unreadable entry: they answer 503 for it, and never run it as a batch or call it done.
 */
public enum JobOutcome {
  NONE,
  DONE,
  CANCELLED,
  SERVING
}
