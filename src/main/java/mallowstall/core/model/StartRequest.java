package mallowstall.core.model;

import java.util.List;

/**
 * The request of a job leader to start one attempt of a task on a machine.
 *
 * @param machine id of the machine
 * @param job id of the job
 * @param task number of the task
 * @param attempt number of the attempt
 * @param leaderEpoch leader epoch of the sender; smaller ones than the replica shows are rejected
 * @param expiryWallMs ms of the time of day after which the start must not reach the worker
 * @param victims tasks on that machine that are preempted to make room
 */
public record StartRequest(
    String machine,
    String job,
    int task,
    long attempt,
    long leaderEpoch,
    long expiryWallMs,
    List<TaskAttempt> victims) {}
