package mallowstall.core.model;

/**
 * The answer to a {@link RunStateQuestion}.
 *
 * @param job id of the job
 * @param state what is known
 * @param runningTasks number of tasks that were observed running
 * @param sinceAgeMs time in milliseconds before the answer from which on no task was running
 * @param ageMs age of the observation in milliseconds at the time of the answer
 */
public record RunStateAnswer(
    String job, RunState state, int runningTasks, long sinceAgeMs, long ageMs) {}
