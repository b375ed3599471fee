/**
 * The machines led by this controller. {@link mallowstall.core.machines.ManagedMachines} owns what
 * their heartbeats said, reservations, pending commands and fencing tokens; around it stand the
 * handling of heartbeats and of requests of job leaders, direct commands, status updates to peers,
 * and the ways in which a machine changes its leader: registration, recovery after a restart,
 * failover and lease expiry.
 *
 * <p>A machine is commanded only under the fencing token that the state service recorded. One event
 * at a time; no I/O, clock or threads. May depend on model, kernel, kv and cluster, and doesn't
 * know the jobs led here. See docs/design.md, "ran_twice" and the paragraphs after it.
 */
package mallowstall.core.machines;
