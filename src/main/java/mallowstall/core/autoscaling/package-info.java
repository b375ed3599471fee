/**
 * How many machines of which type to request and which to return. {@link
 * mallowstall.core.autoscaling.MachineDemand} is computed by every controller, since placement asks
 * it too; scaling out and in is done only by the controller named in the key {@code c/cloud}:
 * {@link mallowstall.core.autoscaling.AutoscalerLeadership} holds that leadership, {@link
 * mallowstall.core.autoscaling.Autoscaler} runs what is due, and {@link
 * mallowstall.core.autoscaling.ScalingPlanner} plans.
 *
 * <p>The package owns the requests to the cloud under way, the cloud's inventory as last read, and
 * the machines that are pending: provided, and not registered yet. One event at a time; no I/O,
 * clock or threads. May depend on model, kernel, kv and cluster. See docs/design.md, "Renting".
 */
package mallowstall.core.autoscaling;
