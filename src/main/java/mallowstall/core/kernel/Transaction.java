package mallowstall.core.kernel;

import java.util.List;

/** One atomic change; {@code drops} are deleted keys. */
public record Transaction(
    List<Condition> conditions, List<PutOperation> puts, List<String> deletes) {}
