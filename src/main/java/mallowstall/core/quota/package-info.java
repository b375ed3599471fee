/**
 * Teams' quotas and guaranteed shares: how many tasks of a team may run at a time, over all
 * controllers, and which jobs are covered by their team's guarantee.
 *
 * <p>A led job reserves quota by a transaction on its entry and on its team's usage before its
 * tasks are started, so the sum over all controllers never exceeds the quota. All of it runs on the
 * event thread of the core. See docs/design.md.
 */
package mallowstall.core.quota;
