/**
 * One controller process: {@link mallowstall.Controller} wires the scheduling core to the adapters
 * of the state service, the cloud, peers, users and workers, and runs all of them on one event
 * loop. Nothing below the event loop is thread-safe or needs to be.
 */
package mallowstall;
