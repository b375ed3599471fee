/**
 * Places the pending tasks of this controller's jobs on machines of the cluster view. {@link
 * mallowstall.core.placement.PlacementScheduler} runs the scheduling passes. In a pass {@link
 * mallowstall.core.placement.PendingJobs} orders the jobs, {@link
 * mallowstall.core.placement.GroupPlacer} tries the blocks of each job's policy and preempts where
 * that is allowed, and {@link mallowstall.core.placement.StartSender} sends the starts to the
 * machine leaders, which admit or reject them. The package owns the backoff of each policy and the
 * counts of one pass. The package jobs owns the attempts, and the cluster view owns the capacity.
 *
 * <p>The package processes one event at a time. It does no I/O, reads no system clock and starts no
 * threads. It may depend on the packages model, kernel, kv, cluster, jobs and quota, and on the
 * machine demand of the package autoscaling. See docs/design.md, "What was kept", "Exceptions to
 * the design" and "Cost at size"; docs/policies.md for the language of policies.
 */
package mallowstall.core.placement;
