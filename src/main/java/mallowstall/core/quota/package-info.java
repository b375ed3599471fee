/**
 * Quotas and guaranteed shares of teams. {@link mallowstall.core.quota.QuotaLedger} raises and
 * lowers the quota reservations of led jobs, each together with the team's usage in one
 * transaction. The ledger holds only the state of writes in flight; the reservations are stored in
 * the entries of jobs and teams. {@link mallowstall.core.quota.GuaranteedShares} computes which
 * jobs are covered by their team's guaranteed share.
 *
 * <p>The package handles one event at a time and has no I/O, clock or threads of its own. It may
 * depend on model, kernel, kv, cluster and jobs. See docs/design.md, "quota" and "Exceptions to the
 * design".
 */
package mallowstall.core.quota;
