package mallowstall.core.kernel;

/** A key that was read. */
public record GetResult(ResultCode code, KeyValue item) {}
