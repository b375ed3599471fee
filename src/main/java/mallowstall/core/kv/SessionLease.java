package mallowstall.core.kv;

import java.util.ArrayList;
import java.util.List;
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
 * This controller's session: an incarnation number, a lease, and an entry attached to that lease by
 * which the others see that this process lives. Obtains them in this order, one request at a time,
 * and renews the lease (source: protocol, Leases).
 */
final class SessionLease {
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.state");

  /** ms. Between renewals of the session: four fit into a lease. */
  private static final long SESSION_RENEWAL_INTERVAL_MS = 1_200;

  /** ms. A job leader stops starting tasks this long before its lease can end. */
  private static final long SESSION_MARGIN_MS = 500;

  private final EventClock clock;
  private final CoreSettings settings;
  private final StateRequests requests;
  private final String sessionKey;
  private final Runnable tick;
  private final Runnable registered;

  private long incarnation;
  private long leaseId;
  private boolean sessionRegistered;
  private long leaseValidUntilMs = Long.MIN_VALUE / 2;
  private long lastRenewalMs;
  private boolean requestPending;
  private long nextAttemptMs;

  /**
   * {@code tick} is run when the next step can be taken at once, {@code registered} each time the
   * session's entry has been written.
   */
  SessionLease(
      EventClock clock,
      CoreSettings settings,
      StateRequests requests,
      Runnable tick,
      Runnable registered) {
    this.clock = clock;
    this.settings = settings;
    this.requests = requests;
    this.sessionKey = StateKeys.session(settings.node());
    this.tick = tick;
    this.registered = registered;
  }

  /** The number of this process among all of all controllers; 0: none was obtained yet. */
  long incarnation() {
    return incarnation;
  }

  /** The lease of the session; 0: none. */
  long leaseId() {
    return leaseId;
  }

  /** Milliseconds for which the session surely lasts; not positive: there is none. */
  long remainingMs() {
    return sessionRegistered ? leaseValidUntilMs - clock.now() : -1;
  }

  /** Takes the next step towards a session or its renewal, if one is due. */
  void tick() {
    if (requestPending || clock.now() < nextAttemptMs) {
      return;
    }
    if (incarnation == 0) {
      obtainIncarnation();
    } else if (leaseId == 0) {
      obtainLease();
    } else if (!sessionRegistered) {
      registerSession();
    } else if (clock.now() - lastRenewalMs >= SESSION_RENEWAL_INTERVAL_MS) {
      renewLease();
    }
  }

  /**
   * The replica shows another session of this node, or none ({@code null}). A change that a former
   * process asked for may be executed late, replace this one's entry and expire with the former
   * lease: without a new entry this process would renew a lease that holds nothing.
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

  /** Incarnations come from a counter that only grows, so no two processes share one. */
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

  /** Counted from when the request was sent, less drift: the service can't end it earlier. */
  private void extendLease(long sentMs) {
    lastRenewalMs = sentMs;
    leaseValidUntilMs =
        Math.max(
            leaseValidUntilMs,
            sentMs
                + (long) (Constants.SESSION_LEASE_MS * (1 - 2 * Constants.CLOCK_DRIFT_FRACTION))
                - SESSION_MARGIN_MS);
  }

  /** Compared with what was read, so that a write executed late replaces no later one. */
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
        this::sessionPut);
  }

  private void sessionPut(TransactionResult result) {
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
    registered.run();
  }

  private void renewLease() {
    requestPending = true;
    long sentMs = clock.now();
    requests.renewLease(leaseId, result -> leaseRenewed(result, sentMs));
  }

  private void leaseRenewed(LeaseResult result, long sentMs) {
    requestPending = false;
    if (result.code() == ResultCode.OK) {
      extendLease(sentMs);
    } else if (result.code() == ResultCode.EXPIRED) {
      LOG.info("session lease expired incarnation={}", incarnation);
      leaseId = 0;
      sessionRegistered = false;
    } else {
      retryLater();
    }
  }
}
