/**
 * Teams' quotas and guaranteed shares. {@link mallowstall.core.quota.QuotaLedger} raises and lowers
 * the quota reservations of led jobs, each together with the team's usage in one transaction, and
 * owns only the writes under way: the reservations themselves stand in the entries of jobs and
 * teams. {@link mallowstall.core.quota.GuaranteedShares} computes which jobs their team's guarantee
 * covers.
 *
 * <p>One event at a time; no I/O, clock or threads. May depend on model, kernel, kv, cluster and
 * jobs. See docs/design.md, "quota" and "Exceptions to the design".
 */
package mallowstall.core.quota;
