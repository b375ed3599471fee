/**
 * The protocol between workers and controllers: heartbeats and commands. Only {@link
 * mallowstall.workers.WorkerProtocol} defines its field names.
 */
package mallowstall.workers;
