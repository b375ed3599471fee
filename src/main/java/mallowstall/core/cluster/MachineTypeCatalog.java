package mallowstall.core.cluster;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import mallowstall.core.kernel.Effects;
import mallowstall.core.kernel.EventClock;
import mallowstall.core.model.MachineType;

/** The machine types that the cloud offers, read again periodically. Mutable. */
public final class MachineTypeCatalog {
  private static final long RETRY_MS = 1_000;
  private static final long REFRESH_MS = 60_000;

  private final EventClock clock;
  private final Effects effects;
  private final Map<String, MachineType> types = new LinkedHashMap<>();

  /** Called after each successful read of the types. */
  private Runnable subscriber = () -> {};

  private long nextRefreshMs;
  private boolean refreshing;

  /** Creates an empty catalog; the first tick reads the types. */
  public MachineTypeCatalog(EventClock clock, Effects effects) {
    this.clock = clock;
    this.effects = effects;
  }

  /**
   * Sets the callback that runs after each successful read of the types. Called once, before the
   * first event.
   */
  public void subscribe(Runnable typesRead) {
    subscriber = typesRead;
  }

  /** Reads the types if a read is due and none is pending. */
  public void tick() {
    if (clock.now() >= nextRefreshMs && !refreshing) {
      refreshing = true;
      effects.fetchMachineTypes(this::applyOffered);
    }
  }

  /**
   * Adds the types that the cloud offers and keeps those that it no longer offers.
   *
   * @param offered null if the read failed
   */
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

  /** Returns whether no types have been read yet. */
  public boolean isEmpty() {
    return types.isEmpty();
  }

  /** Returns the type with this name, or null if it is unknown. */
  public MachineType find(String name) {
    return types.get(name);
  }

  /** Returns all types in the order in which they were first read. */
  public Collection<MachineType> all() {
    return types.values();
  }

  /** Returns the names of all types in the order in which the types were first read. */
  public Set<String> names() {
    return types.keySet();
  }
}
