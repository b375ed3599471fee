/**
 * The jobs led by this controller. {@link mallowstall.core.jobs.JobLeader} owns every {@link
 * mallowstall.core.jobs.LedJob}: which tasks are completed, which attempts are or may be on
 * machines, what waits, and the writes of the job's entry. It claims the jobs of controllers whose
 * session is gone and recovers them before a task may be placed again.
 *
 * <p>An attempt counts as possibly running until something proves that it isn't; the proofs stand
 * in docs/design.md, "ran_twice" and "Job failover". One event at a time; no I/O, clock or threads.
 * May depend on model, kernel, kv and cluster, and doesn't know the machines led here.
 */
package mallowstall.core.jobs;
