/**
 * One controller process. {@link mallowstall.Controller} connects the scheduling core with the
 * adapters of the state service, the cloud, peers, users and workers, and runs all of them on one
 * event loop. The code that runs on the event loop is not thread-safe and need not be.
 */
package mallowstall;
