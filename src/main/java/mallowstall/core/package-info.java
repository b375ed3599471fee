/**
 * The scheduling core of one controller, without sockets. {@link mallowstall.core.ControllerCore}
 * passes each incoming event to the module concerned and holds no scheduling state itself. The
 * other classes of this package create the modules, one class for each concern, in the order of the
 * layers.
 *
 * <p>The packages below this one process one event at a time on the caller's thread. They do no
 * I/O, read no clock and start no thread: the caller sets the time with {@code setTime}, and
 * requests leave through {@code Effects}. From the lowest layer to the highest, the packages are
 * model, kernel, kv and cluster, then jobs and machines side by side, then quota, autoscaling and
 * placement; api depends on kv and cluster. This package may depend on all of them. See
 * docs/architecture.md for an overview and docs/design.md for the reasons.
 */
package mallowstall.core;
