/**
 * How many machines of which type to rent and which to return. {@link
 * mallowstall.core.autoscaling.MachineDemand} is computed by every controller, since placement asks
 * it too; scaling out and in is done only by the controller named in the key {@code c/cloud}, whose
 * {@link mallowstall.core.autoscaling.Autoscaler} holds that leadership and plans.
 *
 * <p>It owns the requests to the cloud under way, the cloud's inventory as last read, and the
 * machines that were rented but aren't registered. One event at a time; no I/O, clock or threads.
 * May depend on model, kernel, kv and cluster. See docs/design.md, "Renting".
 */
package mallowstall.core.autoscaling;
