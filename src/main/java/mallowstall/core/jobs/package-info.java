/**
 * The jobs led by this controller: which tasks are completed, which attempts are or may be on
 * machines, what waits, and the writes of the jobs' entries. {@link
 * mallowstall.core.jobs.JobLeader} is the entry for events and for the modules above; behind it,
 * one class each decides by the job entries which jobs are led here (JobLeadership), claims the
 * jobs of controllers whose session has ended (JobFailover), holds their placement back until their
 * attempts are known (LeadershipRecovery), tracks attempts (AttemptTracker), squares status updates
 * with them (StatusReconciliation), handles exits (TaskExitHandler) and records completions
 * (CompletionRecorder).
 *
 * <p>An attempt counts as possibly running until something proves that it isn't; the proofs stand
 * in docs/design.md, "ran_twice" and "Job failover". One event at a time; no I/O, clock or threads.
 * May depend on model, kernel, kv and cluster, and doesn't know the machines led here.
 */
package mallowstall.core.jobs;
