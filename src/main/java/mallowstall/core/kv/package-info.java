/**
 * This controller's access to the state service. {@link mallowstall.core.kv.StateStore} is the
 * facade of five modules: the replica of all keys, its synchronization, the session with its lease
 * and incarnation, the queue that enforces the rate limits, and the requests. {@link
 * mallowstall.core.kv.StateChangeDispatcher} passes each change of the replica to the subscribers
 * for its entry type, in a fixed order. {@link mallowstall.core.kv.JobBitmaps} defines how the
 * bitmap of completed tasks is distributed over keys.
 *
 * <p>The package handles one event at a time. It does no I/O and uses no system clock and no
 * threads. It may depend on the model and kernel packages. See docs/design.md, "Keys in the state
 * service" and "Limits that fall".
 */
package mallowstall.core.kv;
