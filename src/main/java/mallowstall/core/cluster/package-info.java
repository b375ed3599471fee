/**
 * What this controller knows of the others: machines from status updates ({@link
 * mallowstall.core.cluster.ClusterView} owns that view and the counts derived from it), live
 * members, program versions, open jobs, machine types, image sizes and cancellations. It also sends
 * requests to peers and takes in what they send.
 *
 * <p>The view is partial and a little old; the machine leader admits or rejects each start, so no
 * rule depends on it being right. One event at a time; no I/O, clock or threads. May depend on
 * model, kernel and kv. See docs/design.md, "What controllers tell each other" and "ran_cancelled".
 */
package mallowstall.core.cluster;
