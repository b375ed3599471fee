package mallowstall.core.kernel;

import java.util.List;
import mallowstall.core.model.ListedMachine;

/**
 * A page of the cloud's list of rented machines.
 *
 * @param succeeded false: the page couldn't be read, and the rest is empty
 * @param hasMore whether machines follow after the last of this page
 */
public record InventoryPage(boolean succeeded, List<ListedMachine> machines, boolean hasMore) {}
