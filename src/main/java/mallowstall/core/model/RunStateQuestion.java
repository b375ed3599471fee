package mallowstall.core.model;

import java.util.List;

/**
 * A question whether tasks of one job are running. The leader of the job answers for all of its
 * tasks; a machine leader answers for those on its machines.
 *
 * @param job id of the job
 * @param leaderEpoch leader epoch of the job, for which the job's leader answers
 * @param machines the machines about which a machine leader is asked; empty if the question is
 *     about all tasks of the job
 * @param maxAgeMs maximum age in milliseconds of the observation on which the answer rests
 */
public record RunStateQuestion(String job, long leaderEpoch, List<String> machines, long maxAgeMs) {
  /** Stores an unmodifiable copy of the machines. */
  public RunStateQuestion {
    machines = List.copyOf(machines);
  }
}
