/**
 * The requests of users: submit, query and cancel. {@link mallowstall.core.api.JobApi} owns a
 * bounded memory of jobs that have ended, {@code FreshJobReader} the reads under way; a job itself
 * is recorded in the state service before the user is told so.
 *
 * <p>Answers are never older than what the user may have heard elsewhere, as far as a controller
 * can know. One event at a time; no I/O, clock or threads. May depend on model, kernel, kv and
 * cluster; the number of running tasks comes in as a function. See docs/design.md, "went_back,
 * not_done, forgotten, invented".
 */
package mallowstall.core.api;
