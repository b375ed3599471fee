package mallowstall.core.kernel;

import java.util.List;

/**
 * An atomic change of entries in the state service.
 *
 * @param conditions the conditions that must all hold for the transaction to be executed
 * @param puts the keys to write, with their new values
 * @param deletes the keys to delete
 */
public record Transaction(
    List<Condition> conditions, List<PutOperation> puts, List<String> deletes) {}
