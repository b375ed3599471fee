/**
 * Machine leadership: what a controller does for the machines whose workers report to it. {@link
 * mallowstall.core.machines.ManagedMachines} owns what their heartbeats said, reservations, pending
 * commands and fencing tokens.
 *
 * <p>{@link mallowstall.core.machines.HeartbeatRouter} receives heartbeats. For a machine led here,
 * {@link mallowstall.core.machines.HeartbeatApplier} takes over what the worker reports and {@link
 * mallowstall.core.machines.HeartbeatResponder} answers with commands; {@link
 * mallowstall.core.machines.DirectCommands} sends commands that should not wait for the next
 * heartbeat. {@link mallowstall.core.machines.StartRequestHandler} and {@link
 * mallowstall.core.machines.StopRequestHandler} take requests of job leaders, and {@link
 * mallowstall.core.machines.StatusPublisher} publishes the outcome to all controllers.
 *
 * <p>A controller becomes leader by registration, when a worker turns to it; by failover, when the
 * former leader's session has ended; or by recovery, after its own restart. Each is a write of the
 * machine's entry, whose revision is the fencing token of the leadership: a worker ignores answers
 * and commands under a smaller token than it has acknowledged. {@link
 * mallowstall.core.machines.LeaseExpiryMonitor} decides when the tasks of a machine that is no
 * longer heard have certainly ended.
 *
 * <p>One event at a time on the event loop's thread; no I/O, clock or threads of its own. Times
 * ending in {@code Ms} are milliseconds of the steady clock. May depend on model, kernel, kv and
 * cluster, and doesn't know the jobs led here. See docs/design.md, "ran_twice" and the paragraphs
 * after it.
 */
package mallowstall.core.machines;
