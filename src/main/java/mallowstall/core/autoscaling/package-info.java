/**
 * Scales the cluster: what machines the open jobs need, and, on the one controller that leads
 * autoscaling, which machines the cloud is asked for and which go back to it. Not thread-safe: all
 * calls come from the event loop.
 */
package mallowstall.core.autoscaling;
