package mallowstall.core.model;

import java.util.List;

/**
 * The machines on which tasks of a job may be, as its leader knows them.
 *
 * @param gap why tasks of the job may be on other machines, too; null if none can
 * @param machines ids of the machines, each once
 * @param lastAttemptEndMs steady time in milliseconds at which the leader last learned of the end
 *     of one of the job's attempts, or 0 if it never did
 */
public record TaskLocations(UnknownCause gap, List<String> machines, long lastAttemptEndMs) {
  /** Stores an unmodifiable copy of the machines. */
  public TaskLocations {
    machines = List.copyOf(machines);
  }
}
