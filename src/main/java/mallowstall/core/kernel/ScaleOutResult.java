package mallowstall.core.kernel;

import java.util.List;

/**
 * The result of a scale-out request.
 *
 * @param status the HTTP status of the cloud's response, or the status that stands for a missing
 *     response
 * @param machines the ids of the rented machines, which may be fewer than requested
 */
public record ScaleOutResult(int status, List<String> machines) {}
