package mallowstall.core.kernel;

import java.util.List;

/**
 * A change of the state service that is made as a whole or not at all.
 *
 * @param conditions must all hold for the change to be made
 * @param puts keys that get new values
 * @param deletes keys that are deleted
 */
public record Transaction(
    List<Condition> conditions, List<PutOperation> puts, List<String> deletes) {}
