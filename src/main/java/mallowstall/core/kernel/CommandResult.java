package mallowstall.core.kernel;

import mallowstall.core.model.Heartbeat;

/**
 * Commands sent straight to a worker. {@code report} is the worker's report after them, null when
 * there is none; code OK: executed; CONFLICT: not executed; REFUSED: never sent; UNKNOWN: may be
 * executed at any later time.
 */
public record CommandResult(ResultCode code, Heartbeat heartbeat) {}
