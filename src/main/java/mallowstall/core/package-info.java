/**
 * The scheduling core of one controller, without sockets. {@link mallowstall.core.ControllerCore}
 * passes each incoming event to the module concerned and owns no scheduling state itself; the
 * classes beside it create the modules, one class for each concern, in the order of the layers.
 *
 * <p>Everything below this package runs one event at a time on the caller's thread and does no I/O,
 * reads no clock and starts no thread: time comes in with {@code setTime}, requests leave through
 * {@code Effects}. Dependencies go model, kernel, kv, cluster, then jobs and machines side by side,
 * then quota, autoscaling and placement; api builds on kv and cluster. This package may depend on
 * all of them. See docs/architecture.md for the picture and docs/design.md for the arguments.
 */
package mallowstall.core;
