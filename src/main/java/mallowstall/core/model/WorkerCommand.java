package mallowstall.core.model;

/**
 * A command to a worker (protocol, Workers). Commands may come twice; attempts tell them apart.
 *
 * @param kind what to do
 * @param job id of the job
 * @param task number of the task
 * @param attempt number of the attempt
 * @param gracePeriodS s between the request to stop and the end by force; counts with {@code STOP}
 *     only
 */
public record WorkerCommand(
    CommandKind kind, String job, int task, long attempt, double gracePeriodS) {}
