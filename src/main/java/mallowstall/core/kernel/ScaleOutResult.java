package mallowstall.core.kernel;

import java.util.List;

/** The status of a rental, and the machines rented. */
public record ScaleOutResult(int status, List<String> machines) {}
