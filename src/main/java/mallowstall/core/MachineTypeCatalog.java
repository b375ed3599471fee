package mallowstall.core;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import mallowstall.core.Model.MachineType;

/** The machine types that the cloud offers, read again once in a while. Mutable. */
final class MachineTypeCatalog {
  private static final long RETRY_MS = 1_000;
  private static final long REFRESH_MS = 60_000;

  private final EventClock clock;
  private final Effects effects;
  private final Map<String, MachineType> types = new LinkedHashMap<>();

  /** Called whenever the types have been read. */
  private Runnable subscriber = () -> {};

  private long nextRefresh;
  private boolean refreshing;

  MachineTypeCatalog(EventClock clock, Effects effects) {
    this.clock = clock;
    this.effects = effects;
  }

  /** Sets who is told whenever the types have been read; set once, before the first event. */
  void subscribe(Runnable typesRead) {
    subscriber = typesRead;
  }

  /** Reads the types when that is due. */
  void tick() {
    if (clock.now() >= nextRefresh && !refreshing) {
      refreshing = true;
      effects.types(this::refreshed);
    }
  }

  /** Types that are no longer offered stay known; {@code offered} is null if the read failed. */
  private void refreshed(List<MachineType> offered) {
    refreshing = false;
    nextRefresh = clock.now() + (offered == null || offered.isEmpty() ? RETRY_MS : REFRESH_MS);
    if (offered == null) {
      return;
    }
    for (MachineType type : offered) {
      types.put(type.name(), type);
    }
    subscriber.run();
  }

  /** Whether no types have been read yet. */
  boolean isEmpty() {
    return types.isEmpty();
  }

  /** The type of this name; null if unknown. */
  MachineType find(String name) {
    return types.get(name);
  }

  /** All types, in the order in which they became known. */
  Collection<MachineType> all() {
    return types.values();
  }

  /** The names of all types, in the same order. */
  Set<String> names() {
    return types.keySet();
  }
}
