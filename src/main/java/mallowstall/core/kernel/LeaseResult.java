package mallowstall.core.kernel;

/**
 * How the grant or renewal of a lease has ended.
 *
 * @param leaseId the lease; of no meaning for a grant unless code is OK
 */
public record LeaseResult(ResultCode code, long leaseId) {}
