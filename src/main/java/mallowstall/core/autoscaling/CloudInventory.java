package mallowstall.core.autoscaling;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import mallowstall.core.kernel.Effects;
import mallowstall.core.kernel.EventClock;
import mallowstall.core.kernel.InventoryPage;
import mallowstall.core.kernel.TokenBucket;
import mallowstall.core.model.ListedMachine;

/** The cloud's list of machines, read page by page. It lags behind the actual machines. Mutable. */
public final class CloudInventory {
  /** Interval in milliseconds between two reads of the cloud's inventory. */
  private static final long INVENTORY_INTERVAL_MS = 8_000;

  private final EventClock clock;
  private final Effects effects;
  private final TokenBucket apiCallBucket;
  private Map<String, ListedMachine> machines = new HashMap<>();
  private long readAtMs = Long.MIN_VALUE / 2;
  private boolean readInFlight;
  private long nextReadMs;

  /** Creates an inventory that is empty until the first list is complete. */
  public CloudInventory(EventClock clock, Effects effects, TokenBucket apiCallBucket) {
    this.clock = clock;
    this.effects = effects;
    this.apiCallBucket = apiCallBucket;
  }

  /** Returns the machines of the newest complete list. */
  Collection<ListedMachine> machines() {
    return machines.values();
  }

  /** Returns whether the newest complete list contains the machine. */
  boolean contains(String machine) {
    return machines.containsKey(machine);
  }

  /**
   * Returns the steady time in milliseconds at which the newest complete list was read, or a time
   * far in the past if there is none.
   */
  long readAtMs() {
    return readAtMs;
  }

  /** Removes a returned machine from the newest list, which may still contain it. */
  public void remove(String machine) {
    machines.remove(machine);
  }

  /** Starts the next read if it is due and the limit on cloud API calls allows it. */
  void tick(long now) {
    if (now < nextReadMs || readInFlight || !apiCallBucket.canSpend(now, 1, 0)) {
      return;
    }
    readInFlight = true;
    nextReadMs = now + INVENTORY_INTERVAL_MS;
    readPage(null, new HashMap<>());
  }

  private void readPage(String after, Map<String, ListedMachine> collected) {
    apiCallBucket.spend(clock.now(), 1);
    effects.listMachines(after, reply -> handlePage(after, collected, reply));
  }

  private void handlePage(String after, Map<String, ListedMachine> collected, InventoryPage reply) {
    if (!reply.succeeded()) {
      readInFlight = false;
      return;
    }
    String lastId = after;
    for (ListedMachine machine : reply.machines()) {
      collected.put(machine.id(), machine);
      lastId = machine.id();
    }
    if (reply.hasMore() && lastId != null) {
      readPage(lastId, collected);
      return;
    }
    readInFlight = false;
    machines = collected;
    readAtMs = clock.now();
  }
}
