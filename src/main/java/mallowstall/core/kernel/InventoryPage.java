package mallowstall.core.kernel;

import java.util.List;
import mallowstall.core.model.ListedMachine;

/**
 * A page of the inventory, the cloud's list of rented machines.
 *
 * @param succeeded whether the page could be read; if false, {@code machines} is empty and {@code
 *     hasMore} is false
 * @param hasMore whether more machines follow after the last one of this page
 */
public record InventoryPage(boolean succeeded, List<ListedMachine> machines, boolean hasMore) {}
