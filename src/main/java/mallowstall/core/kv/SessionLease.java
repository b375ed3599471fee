package mallowstall.core.kv;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;
import mallowstall.Constants;
import mallowstall.core.kernel.Condition;
import mallowstall.core.kernel.EventClock;
import mallowstall.core.kernel.GetResult;
import mallowstall.core.kernel.LeaseResult;
import mallowstall.core.kernel.PutOperation;
import mallowstall.core.kernel.ResultCode;
import mallowstall.core.kernel.Transaction;
import mallowstall.core.kernel.TransactionResult;
import mallowstall.core.model.CoreSettings;
import mallowstall.core.model.IncarnationCounterEntry;
import mallowstall.core.model.ProgramVersion;
import mallowstall.core.model.SessionEntry;
import mallowstall.core.model.VersionEntry;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Maintains this controller's session, which consists of an incarnation number, a lease, and a
 * session entry attached to the lease. The entry shows the peers that this process is running. This
 * class obtains the three in this order, with one request at a time, and renews the lease (source:
 * protocol, Leases).
 *
 * <p>Peers leave the jobs and machines of a controller with a session to it, and wait for its state
 * replica. So a controller gives up its session if the state service serves it and its replica
 * still doesn't catch up, and obtains the next one only when the replica is fresh again.
 */
final class SessionLease {
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.state");

  /** Milliseconds between renewals of the session lease. Four renewals fit into a lease. */
  private static final long SESSION_RENEWAL_INTERVAL_MS = 1_200;

  /**
   * Time, in milliseconds, before the earliest possible end of the lease at which a job leader
   * stops starting tasks.
   */
  private static final long SESSION_MARGIN_MS = 500;

  /**
   * Maximum number of renewals in a row, each at least {@link #SESSION_RENEWAL_INTERVAL_MS} after
   * the one before, without a newer state replica. It leaves time for a listing after an outage.
   */
  private static final int RENEWALS_WHILE_STALE_MAX = 10;

  private final EventClock clock;
  private final CoreSettings settings;
  private final StateRequests requests;
  private final String sessionKey;
  private final Runnable tick;
  private final Runnable onRegistered;
  private final LongSupplier replicaFreshAtMs;

  private long incarnation;
  private long leaseId;
  private boolean sessionRegistered;
  private long leaseValidUntilMs = Long.MIN_VALUE / 2;
  private long lastRenewalMs;
  private boolean requestPending;
  private long nextAttemptMs;

  /** How fresh the state replica was at the latest renewal, and the renewals since it was so. */
  private long freshAtRenewalMs;

  private int renewalsWhileStale;

  /** Whether the session was given up and the state replica hasn't caught up since. */
  private boolean givenUp;

  /**
   * Creates a session that sends no request before the first {@link #tick}.
   *
   * @param tick run when the next step is possible without delay
   * @param onRegistered run each time the session entry has been written
   * @param replicaFreshAtMs returns the steady time up to which the state replica holds every
   *     change
   */
  SessionLease(
      EventClock clock,
      CoreSettings settings,
      StateRequests requests,
      Runnable tick,
      Runnable onRegistered,
      LongSupplier replicaFreshAtMs) {
    this.clock = clock;
    this.settings = settings;
    this.requests = requests;
    this.sessionKey = StateKeys.session(settings.node());
    this.tick = tick;
    this.onRegistered = onRegistered;
    this.replicaFreshAtMs = replicaFreshAtMs;
  }

  /**
   * Returns the incarnation number of this process, which is unique among all processes of all
   * controllers, or 0 if none has been obtained yet.
   */
  long incarnation() {
    return incarnation;
  }

  /** Returns the id of the session lease, or 0 if there is none. */
  long leaseId() {
    return leaseId;
  }

  /**
   * Returns the time in milliseconds for which the session is certain to last. If it is 0 or
   * negative, there is no valid session.
   */
  long remainingMs() {
    return sessionRegistered ? leaseValidUntilMs - clock.now() : -1;
  }

  /** Sends the next request that obtains or renews the session, if one is due. */
  void tick() {
    if (requestPending || clock.now() < nextAttemptMs) {
      return;
    }
    givenUp &= replicaFreshAtMs.getAsLong() == freshAtRenewalMs;
    if (incarnation == 0) {
      obtainIncarnation();
    } else if (leaseId == 0 && !givenUp) {
      obtainLease();
    } else if (leaseId == 0) {
      return; // the session would be given up again
    } else if (!sessionRegistered) {
      registerSession();
    } else if (clock.now() - lastRenewalMs >= SESSION_RENEWAL_INTERVAL_MS) {
      renewLease();
    }
  }

  /**
   * Called when this controller's session entry in the replica has changed, or has been deleted
   * ({@code null}). A write requested by a former process may be executed late, replace this
   * process's entry and expire with the former process's lease. This process then writes its entry
   * again, because otherwise it would renew a lease to which no key is attached.
   */
  void entryChanged(SessionEntry session) {
    if (!sessionRegistered || (session != null && session.incarnation() == incarnation)) {
      return;
    }
    LOG.info("session entry replaced or deleted incarnation={}", incarnation);
    sessionRegistered = false;
  }

  private void retryLater() {
    requestPending = false;
    nextAttemptMs = clock.now() + Constants.STATE_RETRY_MS;
  }

  /**
   * Obtains an incarnation number from a counter that only grows, so that no two processes share a
   * number.
   */
  private void obtainIncarnation() {
    requestPending = true;
    requests.read(
        RequestPriority.SESSION, StateKeys.INCARNATION_COUNTER_KEY, this::incrementCounter);
  }

  private void incrementCounter(GetResult counter) {
    if (counter.code() != ResultCode.OK) {
      retryLater();
      return;
    }
    long next =
        counter.item().value() == null
            ? 1
            : ((IncarnationCounterEntry) counter.item().value()).value() + 1;
    requests.transact(
        RequestPriority.SESSION,
        new Transaction(
            List.of(new Condition(StateKeys.INCARNATION_COUNTER_KEY, counter.item().modRevision())),
            List.of(
                new PutOperation(
                    StateKeys.INCARNATION_COUNTER_KEY, new IncarnationCounterEntry(next), 0)),
            List.of()),
        result -> {
          if (result.code() != ResultCode.OK) {
            retryLater();
            return;
          }
          incarnation = next;
          requestPending = false;
          tick.run();
        });
  }

  private void obtainLease() {
    requestPending = true;
    long sentMs = clock.now();
    requests.grantLease(
        result -> {
          if (result.code() != ResultCode.OK) {
            retryLater();
            return;
          }
          leaseId = result.leaseId();
          extendLease(sentMs);
          requestPending = false;
          tick.run();
        });
  }

  /**
   * Extends the time for which the lease is certain to last. The time counts from when the request
   * was sent and is reduced by the clock drift, so that the state service can't end the lease
   * earlier.
   */
  private void extendLease(long sentMs) {
    lastRenewalMs = sentMs;
    leaseValidUntilMs =
        Math.max(
            leaseValidUntilMs,
            sentMs
                + (long) (Constants.SESSION_LEASE_MS * (1 - 2 * Constants.CLOCK_DRIFT_FRACTION))
                - SESSION_MARGIN_MS);
  }

  /**
   * Reads the session entry and writes it on condition that it hasn't changed in between, so that a
   * write that is executed late can't replace a later one.
   */
  private void registerSession() {
    requestPending = true;
    requests.read(
        RequestPriority.SESSION,
        sessionKey,
        result -> {
          if (result.code() == ResultCode.OK) {
            putSession(result.item().modRevision());
          } else {
            retryLater();
          }
        });
  }

  private void putSession(long modRevision) {
    String node = settings.node();
    List<PutOperation> puts = new ArrayList<>();
    puts.add(new PutOperation(sessionKey, new SessionEntry(node, incarnation), leaseId));
    int programVersion = settings.programVersion();
    if (programVersion > ProgramVersion.UNKNOWN) {
      VersionEntry versionEntry = new VersionEntry(node, incarnation, programVersion);
      puts.add(new PutOperation(StateKeys.version(node), versionEntry, 0));
    }
    requests.transact(
        RequestPriority.SESSION,
        new Transaction(List.of(new Condition(sessionKey, modRevision)), puts, List.of()),
        this::handlePutResult);
  }

  private void handlePutResult(TransactionResult result) {
    if (result.code() == ResultCode.LEASE_NOT_FOUND) {
      leaseId = 0;
    }
    if (result.code() != ResultCode.OK) {
      retryLater();
      return;
    }
    requestPending = false;
    sessionRegistered = true;
    LOG.info("session registered incarnation={}", incarnation);
    onRegistered.run();
  }

  private void renewLease() {
    requestPending = true;
    long sentMs = clock.now();
    requests.renewLease(leaseId, result -> handleRenewalResult(result, sentMs));
  }

  private void handleRenewalResult(LeaseResult result, long sentMs) {
    requestPending = false;
    if (result.code() == ResultCode.OK) {
      extendLease(sentMs);
      giveUpIfStale();
    } else if (result.code() == ResultCode.EXPIRED) {
      LOG.info("session lease expired incarnation={}", incarnation);
      leaseId = 0;
      sessionRegistered = false;
    } else {
      retryLater();
    }
  }

  /** Counts a renewal, and gives the session up if the state replica stays behind. */
  private void giveUpIfStale() {
    long freshAtMs = replicaFreshAtMs.getAsLong();
    renewalsWhileStale = freshAtMs == freshAtRenewalMs ? renewalsWhileStale + 1 : 0;
    freshAtRenewalMs = freshAtMs;
    if (renewalsWhileStale < RENEWALS_WHILE_STALE_MAX) {
      return;
    }
    LOG.info("session given up, state replica is behind incarnation={}", incarnation);
    renewalsWhileStale = 0;
    givenUp = true;
    leaseId = 0;
    sessionRegistered = false;
  }

  /**
   * Returns whether the session was given up, although the state service serves this controller,
   * because its state replica doesn't catch up.
   */
  boolean isGivenUp() {
    return givenUp;
  }
}
