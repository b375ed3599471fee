/**
 * Machine leadership: the management of the machines whose workers send their heartbeats to this
 * controller. {@link mallowstall.core.machines.ManagedMachines} holds the contents of the latest
 * heartbeats, reservations, pending commands and fencing tokens.
 *
 * <p>{@link mallowstall.core.machines.HeartbeatRouter} receives heartbeats. For a machine that this
 * controller leads, {@link mallowstall.core.machines.HeartbeatApplier} applies the worker's report
 * and {@link mallowstall.core.machines.HeartbeatResponder} responds with commands. {@link
 * mallowstall.core.machines.DirectCommands} sends commands that should not wait for the next
 * heartbeat. {@link mallowstall.core.machines.StartRequestHandler} and {@link
 * mallowstall.core.machines.StopRequestHandler} handle requests of job leaders, and {@link
 * mallowstall.core.machines.StatusPublisher} publishes the resulting status and rejections to all
 * controllers.
 *
 * <p>A controller becomes machine leader by registration, when a worker turns to it; by failover,
 * when the former leader's session has ended; or by recovery, after its own restart. In each case
 * it writes the machine's entry, and the revision of the write is the fencing token of the
 * leadership. A worker ignores responses and commands with a smaller token than it has
 * acknowledged. {@link mallowstall.core.machines.LeaseExpiryMonitor} decides when the tasks of a
 * machine whose heartbeats no longer arrive have certainly ended.
 *
 * <p>The classes handle one event at a time on the event loop's thread and have no I/O, clock or
 * threads of their own. Times ending in {@code Ms} are milliseconds of the steady clock. The
 * package may depend on model, kernel, kv and cluster, but not on jobs. See docs/design.md,
 * "ran_twice" and the paragraphs after it.
 */
package mallowstall.core.machines;
