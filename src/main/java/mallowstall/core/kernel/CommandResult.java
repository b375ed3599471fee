package mallowstall.core.kernel;

import mallowstall.core.model.Heartbeat;

/**
 * How commands sent to a worker's own address have ended.
 *
 * @param code OK; CONFLICT: not executed; REJECTED: never sent; or OUTCOME_UNKNOWN
 * @param heartbeat the worker's state after the commands; null if it sent none
 */
public record CommandResult(ResultCode code, Heartbeat heartbeat) {}
