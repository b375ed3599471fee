package mallowstall.core;

import java.util.List;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;
import mallowstall.Constants;
import mallowstall.core.Model.CoreSettings;
import mallowstall.core.Model.DigestRec;
import mallowstall.core.Model.Room;

/** Writes this controller's free capacity and pending work to the state service now and then. */
final class DigestPublisher {
  private final EventClock clock;
  private final CoreSettings settings;
  private final Effects effects;
  private final Store store;
  private final Supplier<List<Room>> freeCapacity;
  private final DoubleSupplier pendingCpus;
  private final RetryDelay retry = new RetryDelay();
  private long next;

  DigestPublisher(
      EventClock clock,
      CoreSettings settings,
      Effects effects,
      Store store,
      Supplier<List<Room>> freeCapacity,
      DoubleSupplier pendingCpus) {
    this.clock = clock;
    this.settings = settings;
    this.effects = effects;
    this.store = store;
    this.freeCapacity = freeCapacity;
    this.pendingCpus = pendingCpus;
  }

  /** Writes the digest when that is due. */
  void tick() {
    if (clock.now() < next || !store.synced() || !store.sessionGood()) {
      return;
    }
    next = clock.now() + Constants.DIGEST_EVERY_MS;
    store.transact(
        Store.Urgency.BACKGROUND,
        new Effects.Txn(
            List.of(),
            List.of(new Effects.Put(Store.DIGESTS + settings.node(), digest(), store.leaseId())),
            List.of()),
        reply -> {
          retry.answered(clock.now(), reply.code());
          next = Math.max(next, retry.until());
        });
  }

  /** The digest with as many of the machines with most free capacity as fit one value. */
  private DigestRec digest() {
    double pending = pendingCpus.getAsDouble();
    long incarnation = store.incarnation();
    List<Room> free =
        ValueSize.fitting(
            freeCapacity.get(),
            some -> effects.encodedSize(new DigestRec(incarnation, some, pending)),
            settings.valueBytes());
    return new DigestRec(incarnation, free, pending);
  }
}
