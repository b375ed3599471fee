/**
 * This controller's access to the state service. {@link mallowstall.core.kv.StateStore} is the
 * entrance to five modules: the replica of all keys, its synchronisation, the session with its
 * lease and incarnation, the queue that keeps to the service's rate, and the requests. {@link
 * mallowstall.core.kv.StateChangeDispatcher} passes each change of the replica, typed, to its
 * subscribers in a fixed order. {@link mallowstall.core.kv.JobBitmaps} decides how the bitmap of
 * completed tasks is laid out over keys.
 *
 * <p>One event at a time; no I/O, clock or threads. May depend on model and kernel. See
 * docs/design.md, "Keys in the state service" and "Limits that fall".
 */
package mallowstall.core.kv;
