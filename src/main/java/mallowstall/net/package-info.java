/**
 * HTTP server and client, TCP bootstraps and periodic tasks on one event loop. The classes are not
 * safe for use by other threads.
 */
package mallowstall.net;
