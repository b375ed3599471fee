package mallowstall.core.cluster;

import java.util.List;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;
import mallowstall.core.kernel.Effects;
import mallowstall.core.kernel.EventClock;
import mallowstall.core.kernel.PutOperation;
import mallowstall.core.kernel.RetryDelay;
import mallowstall.core.kernel.Transaction;
import mallowstall.core.kv.RequestPriority;
import mallowstall.core.kv.StateKeys;
import mallowstall.core.kv.StateStore;
import mallowstall.core.kv.ValueSize;
import mallowstall.core.model.CoreSettings;
import mallowstall.core.model.DigestEntry;
import mallowstall.core.model.FreeCapacity;

/** Writes this controller's free capacity and pending work to the state service periodically. */
public final class DigestPublisher {
  /** Interval between two digests in milliseconds (docs/design.md: every 5 seconds). */
  private static final long DIGEST_INTERVAL_MS = 5_000;

  private final EventClock clock;
  private final CoreSettings settings;
  private final Effects effects;
  private final StateStore store;
  private final Supplier<List<FreeCapacity>> freeCapacity;
  private final DoubleSupplier pendingCpus;
  private final RetryDelay retry = new RetryDelay();
  private long nextPublishMs;

  /**
   * Creates a publisher.
   *
   * @param freeCapacity supplies the free capacity of machines, those with the most free CPUs first
   * @param pendingCpus supplies the number of CPUs that pending tasks need
   */
  public DigestPublisher(
      EventClock clock,
      CoreSettings settings,
      Effects effects,
      StateStore store,
      Supplier<List<FreeCapacity>> freeCapacity,
      DoubleSupplier pendingCpus) {
    this.clock = clock;
    this.settings = settings;
    this.effects = effects;
    this.store = store;
    this.freeCapacity = freeCapacity;
    this.pendingCpus = pendingCpus;
  }

  /** Writes the digest if one is due and the session is valid. */
  public void tick() {
    if (clock.now() < nextPublishMs || !store.synced() || !store.isSessionValid()) {
      return;
    }
    nextPublishMs = clock.now() + DIGEST_INTERVAL_MS;
    store.transact(
        RequestPriority.BACKGROUND,
        new Transaction(
            List.of(),
            List.of(new PutOperation(StateKeys.digest(settings.node()), digest(), store.leaseId())),
            List.of()),
        reply -> {
          retry.recordResult(clock.now(), reply.code());
          nextPublishMs = Math.max(nextPublishMs, retry.retryAtMs());
        });
  }

  /** Returns a digest with as many of the machines with most free CPUs as fit into one value. */
  private DigestEntry digest() {
    double pending = pendingCpus.getAsDouble();
    long incarnation = store.incarnation();
    List<FreeCapacity> free =
        ValueSize.longestFittingPrefix(
            freeCapacity.get(),
            prefix -> effects.encodedSizeBytes(new DigestEntry(incarnation, prefix, pending)),
            settings.maxValueBytes());
    return new DigestEntry(incarnation, free, pending);
  }
}
