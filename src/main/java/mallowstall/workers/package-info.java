/**
 * The protocol with workers: heartbeats and commands. Its field names stand in {@link
 * mallowstall.workers.WorkerProtocol} alone.
 */
package mallowstall.workers;
