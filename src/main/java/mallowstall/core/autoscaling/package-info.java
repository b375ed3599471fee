/**
 * Decides how many machines of each type to request and which machines to return. Every controller
 * computes {@link mallowstall.core.autoscaling.MachineDemand}, because placement uses it too. Only
 * the controller named in the key {@code c/cloud} scales out and in: {@link
 * mallowstall.core.autoscaling.AutoscalerLeadership} acquires that leadership, {@link
 * mallowstall.core.autoscaling.Autoscaler} runs the periodic work, and {@link
 * mallowstall.core.autoscaling.ScalingPlanner} plans.
 *
 * <p>The package owns the requests to the cloud that are in flight, the cloud's inventory as last
 * read, and the pending machines, which are provided and not yet registered. It handles one event
 * at a time, and uses no I/O, system clock or threads. It may depend on model, kernel, kv and
 * cluster. See docs/design.md, "Renting".
 */
package mallowstall.core.autoscaling;
