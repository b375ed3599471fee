package mallowstall.core.kernel;

/** How a request for a lease has ended. */
public record LeaseResult(ResultCode code, long leaseId) {}
