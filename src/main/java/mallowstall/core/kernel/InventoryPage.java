package mallowstall.core.kernel;

import java.util.List;
import mallowstall.core.model.ListedMachine;

/** A page of the cloud's list of machines. */
public record InventoryPage(boolean succeeded, List<ListedMachine> machines, boolean hasMore) {}
