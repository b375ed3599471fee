package mallowstall.core.model;

/**
 * A command to a worker (protocol, Workers). A command may arrive twice; the number of the attempt
 * identifies the repetition.
 *
 * @param kind action that the worker takes
 * @param job id of the job
 * @param task number of the task
 * @param attempt number of the attempt
 * @param gracePeriodS time in seconds between the request to stop and the forced end; used with
 *     {@code STOP} only
 */
public record WorkerCommand(
    CommandKind kind, String job, int task, long attempt, double gracePeriodS) {}
