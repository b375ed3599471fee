/**
 * This controller's view of the cluster: machines as status updates report them ({@link
 * mallowstall.core.cluster.ClusterView} holds that view and the counts derived from it), live
 * controllers, program versions, jobs that need a leader, machine types, image sizes and
 * cancellations. The package also sends requests to peers and receives messages from them.
 *
 * <p>The view is partial and slightly out of date. The machine leader accepts or rejects each
 * start, so no rule depends on the view being correct. The classes handle one event at a time and
 * use no I/O, system clock or threads. The package may depend on model, kernel and kv. See
 * docs/design.md, "What controllers tell each other" and "ran_cancelled".
 */
package mallowstall.core.cluster;
