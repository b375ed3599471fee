package mallowstall.core.autoscaling;

import java.util.HashMap;
import java.util.Map;
import mallowstall.core.autoscaling.PendingMachines.PendingMachine;
import mallowstall.core.kernel.Backoff;
import mallowstall.core.kernel.Effects;
import mallowstall.core.kernel.EventClock;
import mallowstall.core.kernel.ScaleOutResult;
import mallowstall.core.kernel.TokenBucket;
import mallowstall.core.kv.StateStore;
import mallowstall.core.model.ScaleOutRequest;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Requests machines from the cloud, each time of one type, of one zone, and either spot or
 * on-demand (protocol, Cloud). At most one request is in flight. A kind that the cloud rejected or
 * provided only in part isn't requested again before a cooldown ends. A kind whose request failed
 * otherwise is requested again after a backoff. Mutable.
 */
public final class ScaleOutRequests {
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.autoscaling");

  /** Maximum number of machines per scale-out request (protocol). */
  private static final int SCALE_OUT_MACHINES_MAX = 50;

  /**
   * Time in milliseconds for which a kind of machine isn't requested again after the cloud lacked
   * the capacity for it.
   */
  private static final long SCALE_OUT_REJECTED_COOLDOWN_MS = 15_000;

  private static final int HTTP_OK = 200;
  private static final int HTTP_UNAVAILABLE = 503;

  private final EventClock clock;
  private final Effects effects;
  private final StateStore store;
  private final TokenBucket apiCallBucket;
  private final PendingMachines pendingMachines;

  /** Called after each response, successful or not. */
  private final Runnable onResponse;

  /** Steady time in milliseconds until which a kind of machine isn't requested again. */
  private final Map<MachineKind, Long> cooldownUntilMs = new HashMap<>();

  /** Backoff of each kind of machine whose last request failed for another reason than capacity. */
  private final Map<MachineKind, Backoff> backoffs = new HashMap<>();

  private boolean requestInFlight;
  private int requestCounter;

  /** Creates a sender that adds provided machines to the pending ones. */
  public ScaleOutRequests(
      EventClock clock,
      Effects effects,
      StateStore store,
      TokenBucket apiCallBucket,
      PendingMachines pendingMachines,
      Runnable onResponse) {
    this.clock = clock;
    this.effects = effects;
    this.store = store;
    this.apiCallBucket = apiCallBucket;
    this.pendingMachines = pendingMachines;
    this.onResponse = onResponse;
  }

  /** Returns whether no request is in flight and the limit on cloud API calls allows one. */
  boolean canRequest(long now) {
    return !requestInFlight && apiCallBucket.canSpend(now, 1, 0);
  }

  /**
   * Requests spot machines, or on-demand ones during the cooldown for spot.
   *
   * @return whether a request was sent
   */
  boolean requestSpotOrOnDemand(String type, String zone, int count, long now) {
    return requestInZone(type, zone, true, count, now)
        || requestInZone(type, zone, false, count, now);
  }

  /** Sends a request unless its kind is in a cooldown or backoff. Returns whether it was sent. */
  boolean requestInZone(String type, String zone, boolean spot, int count, long now) {
    MachineKind kind = new MachineKind(type, zone, spot);
    Backoff backoff = backoffs.get(kind);
    if (cooldownUntilMs.getOrDefault(kind, 0L) > now
        || (backoff != null && backoff.isWaiting(now))) {
      return false;
    }
    String name = "r-" + store.incarnation() + "-" + ++requestCounter;
    send(
        new ScaleOutRequest(name, type, zone, spot, Math.min(SCALE_OUT_MACHINES_MAX, count)), kind);
    return true;
  }

  private void send(ScaleOutRequest request, MachineKind kind) {
    requestInFlight = true;
    apiCallBucket.spend(clock.now(), 1);
    LOG.info(
        "scale out requested request={} type={} zone={} spot={} machines={}",
        request.name(),
        request.type(),
        request.zone(),
        request.spot(),
        request.count());
    effects.scaleOut(
        request,
        reply -> {
          requestInFlight = false;
          handleResult(request, kind, reply);
          onResponse.run();
        });
  }

  private void handleResult(ScaleOutRequest request, MachineKind kind, ScaleOutResult reply) {
    long now = clock.now();
    if (reply.status() == HTTP_OK || reply.status() == HTTP_UNAVAILABLE) {
      backoffs.remove(kind);
    }
    if (reply.status() == HTTP_OK) {
      for (String id : reply.machines()) {
        pendingMachines.add(
            id, new PendingMachine(request.type(), request.zone(), request.spot(), now));
      }
      int receivedCount = reply.machines().size();
      LOG.info(
          "scale out answered request={} machines={} requested={}",
          request.name(),
          receivedCount,
          request.count());
      if (receivedCount < request.count()) {
        cooldownUntilMs.put(kind, now + SCALE_OUT_REJECTED_COOLDOWN_MS);
      }
    } else if (reply.status() == HTTP_UNAVAILABLE) {
      cooldownUntilMs.put(kind, now + SCALE_OUT_REJECTED_COOLDOWN_MS);
      LOG.info("scale out rejected request={} status={}", request.name(), reply.status());
    } else {
      backoffs.computeIfAbsent(kind, k -> new Backoff()).recordFailure(now);
      LOG.debug("scale out failed request={} status={}", request.name(), reply.status());
    }
  }
}
