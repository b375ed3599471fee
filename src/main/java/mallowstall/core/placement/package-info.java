/**
 * Starts the pending tasks of led jobs on machines of the view. {@link
 * mallowstall.core.placement.PlacementScheduler} runs a scheduling pass: {@link
 * mallowstall.core.placement.PendingJobs} orders the jobs, {@link
 * mallowstall.core.placement.GroupPlacer} has each try the blocks of its policy and preempt where
 * that is allowed, and {@link mallowstall.core.placement.StartSender} sends the starts to the
 * machine leaders, which admit or reject them. The package owns the backoff of each policy and the
 * counts of one pass; attempts belong to jobs, capacity to the view.
 *
 * <p>One event at a time; no I/O, clock or threads. May depend on model, kernel, kv, cluster, jobs,
 * quota and on the demand of autoscaling. See docs/design.md, "What was kept", "Exceptions to the
 * design" and "Cost at size"; docs/policies.md for the language of policies.
 */
package mallowstall.core.placement;
