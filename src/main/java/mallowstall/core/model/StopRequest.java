package mallowstall.core.model;

/**
 * The request of a job leader to stop one attempt of a task.
 *
 * @param machine id of the machine
 * @param job id of the job
 * @param task number of the task
 * @param attempt number of the attempt
 * @param gracePeriodS time in seconds that the task has to save a checkpoint, or 0 for none
 */
public record StopRequest(
    String machine, String job, int task, long attempt, double gracePeriodS) {}
