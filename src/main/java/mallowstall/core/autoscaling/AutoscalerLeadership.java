package mallowstall.core.autoscaling;

import java.util.List;
import mallowstall.core.kernel.Condition;
import mallowstall.core.kernel.EventClock;
import mallowstall.core.kernel.PutOperation;
import mallowstall.core.kernel.ResultCode;
import mallowstall.core.kernel.RetryDelay;
import mallowstall.core.kernel.Transaction;
import mallowstall.core.kv.RequestPriority;
import mallowstall.core.kv.StateKeys;
import mallowstall.core.kv.StateStore;
import mallowstall.core.kv.StoredValue;
import mallowstall.core.model.AutoscalerLeaderEntry;
import mallowstall.core.model.CoreSettings;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The leadership of the autoscaler. One controller at a time holds the entry, which the state
 * service deletes when that controller's session ends. Mutable.
 */
public final class AutoscalerLeadership {
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.autoscaling");

  private final EventClock clock;
  private final CoreSettings settings;
  private final StateStore store;
  private final RetryDelay retry = new RetryDelay();
  private boolean requestInFlight;

  /** Creates a leadership that is vacant until the state replica holds the leader's entry. */
  public AutoscalerLeadership(EventClock clock, CoreSettings settings, StateStore store) {
    this.clock = clock;
    this.settings = settings;
    this.store = store;
  }

  /**
   * Returns whether the leader's entry in the state replica names this incarnation and this
   * controller's session is valid.
   */
  boolean isLeader() {
    StoredValue stored = store.entry(StateKeys.AUTOSCALER_LEADER_KEY);
    if (stored == null || !store.isSessionValid()) {
      return false;
    }
    AutoscalerLeaderEntry leaderEntry = (AutoscalerLeaderEntry) stored.value();
    return leaderEntry.node().equals(settings.node())
        && leaderEntry.incarnation() == store.incarnation();
  }

  /** Requests leadership if no controller holds it and no earlier request is in flight. */
  void acquireIfVacant(long now) {
    if (store.entry(StateKeys.AUTOSCALER_LEADER_KEY) == null
        && !requestInFlight
        && retry.isDue(now)) {
      acquire();
    }
  }

  private void acquire() {
    requestInFlight = true;
    boolean accepted =
        store.transact(
            // uses the priority of machine requests, since the request would wait too long behind
            // registrations and jobs
            RequestPriority.MACHINE,
            new Transaction(
                List.of(new Condition(StateKeys.AUTOSCALER_LEADER_KEY, 0)),
                List.of(
                    new PutOperation(
                        StateKeys.AUTOSCALER_LEADER_KEY,
                        new AutoscalerLeaderEntry(settings.node(), store.incarnation()),
                        store.leaseId())),
                List.of()),
            reply -> {
              requestInFlight = false;
              retry.recordResult(clock.now(), reply.code());
              if (reply.code() == ResultCode.OK) {
                LOG.info("autoscaler leadership acquired incarnation={}", store.incarnation());
              }
            });
    if (!accepted) {
      requestInFlight = false;
    }
  }
}
