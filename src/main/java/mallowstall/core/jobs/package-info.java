/**
 * The jobs that this controller leads: their completed tasks, the attempts that are or may be on
 * machines, the pending tasks, and the writes of the jobs' entries. {@link
 * mallowstall.core.jobs.JobLeader} is the entry point for events and for the packages that use this
 * one. JobLeadership decides by the job entries which jobs this controller leads. JobFailover
 * claims the jobs of controllers whose session has ended. LeadershipRecovery holds back the
 * placement of claimed jobs until their attempts are known. AttemptTracker tracks attempts,
 * StatusReconciliation reconciles them with status updates, TaskExitHandler handles exits, and
 * CompletionRecorder records completions.
 *
 * <p>An attempt counts as possibly running until it is proven not to be running; docs/design.md
 * lists the proofs under "ran_twice" and "Job failover". The package handles one event at a time
 * and uses no I/O, clock or threads. It may depend on model, kernel, kv and cluster, and does not
 * use the machines that this controller leads.
 */
package mallowstall.core.jobs;
