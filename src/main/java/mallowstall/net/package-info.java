/**
 * HTTP server and client, TCP bootstraps and periodic tasks on one event loop. Nothing here is safe
 * for use by other threads.
 */
package mallowstall.net;
