package mallowstall.core.cluster;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import mallowstall.core.kernel.Effects;
import mallowstall.core.kernel.EventClock;
import mallowstall.core.model.MachineType;

/** The machine types that the cloud offers, read again once in a while. Mutable. */
public final class MachineTypeCatalog {
  private static final long RETRY_MS = 1_000;
  private static final long REFRESH_MS = 60_000;

  private final EventClock clock;
  private final Effects effects;
  private final Map<String, MachineType> types = new LinkedHashMap<>();

  /** Called whenever the types have been read. */
  private Runnable subscriber = () -> {};

  private long nextRefreshMs;
  private boolean refreshing;

  /** An empty catalog, which is read on the first tick. */
  public MachineTypeCatalog(EventClock clock, Effects effects) {
    this.clock = clock;
    this.effects = effects;
  }

  /** Sets the callback for each successful read of the types; once, before the first event. */
  public void subscribe(Runnable typesRead) {
    subscriber = typesRead;
  }

  /** Reads the types when that is due. */
  public void tick() {
    if (clock.now() >= nextRefreshMs && !refreshing) {
      refreshing = true;
      effects.fetchMachineTypes(this::applyOffered);
    }
  }

  /** Types that are no longer offered stay known; {@code offered} is null if the read failed. */
  private void applyOffered(List<MachineType> offered) {
    refreshing = false;
    nextRefreshMs = clock.now() + (offered == null || offered.isEmpty() ? RETRY_MS : REFRESH_MS);
    if (offered == null) {
      return;
    }
    for (MachineType type : offered) {
      types.put(type.name(), type);
    }
    subscriber.run();
  }

  /** Whether no types have been read yet. */
  public boolean isEmpty() {
    return types.isEmpty();
  }

  /** The type of this name; null if unknown. */
  public MachineType find(String name) {
    return types.get(name);
  }

  /** All types, in the order in which they became known. */
  public Collection<MachineType> all() {
    return types.values();
  }

  /** The names of all types, in the same order. */
  public Set<String> names() {
    return types.keySet();
  }
}
