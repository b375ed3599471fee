package mallowstall.core.model;

import java.util.List;

/**
 * The request of a job leader to start one attempt of a task on a machine.
 *
 * @param machine id of the machine
 * @param job id of the job
 * @param task number of the task
 * @param attempt number of the attempt
 * @param leaderEpoch leader epoch of the sender; an epoch smaller than that in the state replica is
 *     rejected
 * @param expiryWallMs time of day in milliseconds after which the start must not reach the worker
 * @param victims tasks on the machine that are preempted to make room
 */
public record StartRequest(
    String machine,
    String job,
    int task,
    long attempt,
    long leaderEpoch,
    long expiryWallMs,
    List<TaskAttempt> victims) {}
