package mallowstall.core.kernel;

/**
 * The result of granting or renewing a lease.
 *
 * @param leaseId the id of the lease; the result of a grant has one only if code is OK
 */
public record LeaseResult(ResultCode code, long leaseId) {}
