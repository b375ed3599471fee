/**
 * Places pending tasks on machines: scheduling passes, policies, ranking of jobs, preemption and
 * the relocation of replicas. Every controller places the jobs that it leads by its own view of the
 * cluster; the machine's leader admits or rejects each start. Not thread-safe: all calls come from
 * the event loop.
 */
package mallowstall.core.placement;
