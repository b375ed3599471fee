/**
 * The requests of users: submit, query and cancel. {@link mallowstall.core.api.JobApi} keeps a
 * bounded cache of ended jobs, and {@code FreshJobReader} keeps the pending reads. A job is
 * recorded in the state service before its user receives the response that it was accepted.
 *
 * <p>A response is never older than one that the user may have received from another controller, as
 * far as a controller can determine. The package handles one event at a time and uses no I/O,
 * system clock or threads. It may depend on model, kernel, kv and cluster; what this controller
 * knows of running tasks comes through {@link mallowstall.core.api.LocalRunStates}. See
 * docs/design.md, "went_back, not_done, forgotten, invented" and "Pending and running".
 */
package mallowstall.core.api;
