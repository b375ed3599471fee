package mallowstall.core.kernel;

import java.util.List;

/**
 * How a request to rent machines has ended.
 *
 * @param status the HTTP status of the cloud's answer, or that of an answer that never came
 * @param machines ids of the machines rented, perhaps fewer than requested
 */
public record ScaleOutResult(int status, List<String> machines) {}
