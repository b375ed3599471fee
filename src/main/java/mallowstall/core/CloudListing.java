package mallowstall.core;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import mallowstall.Constants;
import mallowstall.core.Effects.ListedReply;
import mallowstall.core.Model.Listed;

/** The cloud's list of machines, read page by page. It lags, and may be older than the last. */
final class CloudListing {
  private final EventClock clock;
  private final Effects effects;
  private final Budget calls;
  private Map<String, Listed> machines = new HashMap<>();
  private long readAt = Long.MIN_VALUE / 2;
  private boolean reading;
  private long next;

  CloudListing(EventClock clock, Effects effects, Budget calls) {
    this.clock = clock;
    this.effects = effects;
    this.calls = calls;
  }

  /** The machines of the newest complete list. */
  Collection<Listed> machines() {
    return machines.values();
  }

  boolean names(String machine) {
    return machines.containsKey(machine);
  }

  /** When the newest complete list was read. */
  long readAt() {
    return readAt;
  }

  void forget(String machine) {
    machines.remove(machine);
  }

  /** Reads the list again when it is time. */
  void tick(long now) {
    if (now < next || reading || !calls.has(now, 1, 0)) {
      return;
    }
    reading = true;
    next = now + Constants.LIST_EVERY_MS;
    readPage(null, new HashMap<>());
  }

  private void readPage(String after, Map<String, Listed> before) {
    calls.spend(clock.now(), 1);
    effects.listMachines(after, reply -> pageRead(after, before, reply));
  }

  private void pageRead(String after, Map<String, Listed> before, ListedReply reply) {
    if (!reply.ok()) {
      reading = false;
      return;
    }
    String last = after;
    for (Listed machine : reply.machines()) {
      before.put(machine.id(), machine);
      last = machine.id();
    }
    if (reply.more() && last != null) {
      readPage(last, before);
      return;
    }
    reading = false;
    machines = before;
    readAt = clock.now();
  }
}
