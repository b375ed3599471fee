package mallowstall.core.kernel;

import mallowstall.core.model.Heartbeat;

/**
 * The result of direct commands, which are sent to a worker's own address.
 *
 * @param code OK, CONFLICT if the worker didn't execute the commands, REJECTED if they were never
 *     sent, or OUTCOME_UNKNOWN
 * @param heartbeat the worker's state after the commands, or null if the worker sent none
 */
public record CommandResult(ResultCode code, Heartbeat heartbeat) {}
