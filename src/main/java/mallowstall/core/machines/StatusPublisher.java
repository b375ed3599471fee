package mallowstall.core.machines;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import mallowstall.core.cluster.ClusterView;
import mallowstall.core.kernel.Effects;
import mallowstall.core.kernel.EventClock;
import mallowstall.core.kernel.EventLoopLag;
import mallowstall.core.kernel.Metrics;
import mallowstall.core.model.CoreSettings;
import mallowstall.core.model.StartRejection;
import mallowstall.core.model.StartRequest;
import mallowstall.core.model.StatusUpdate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Publishes status updates of the machines that this controller leads, to every peer and to this
 * controller's own view. Mutable.
 */
public final class StatusPublisher {
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.machines");

  /** Time in milliseconds between two status updates to a peer while nothing changes. */
  static final long STATUS_UPDATE_INTERVAL_MS = 1_000;

  /**
   * Minimum time in milliseconds between two status updates, so that one update contains the
   * changes of a burst of heartbeats.
   */
  private static final long STATUS_UPDATE_INTERVAL_MIN_MS = 120;

  private final EventClock clock;
  private final EventLoopLag lag;
  private final CoreSettings settings;
  private final Effects effects;
  private final Metrics metrics;
  private final ClusterView view;
  private final StatusUpdateSequence updates;
  private final Consumer<StatusUpdate> localDelivery;

  /** Rejections that the next update will contain. */
  private final List<StartRejection> rejections = new ArrayList<>();

  private boolean publishRequested;
  private long lastPublishMs;

  /**
   * Creates a publisher that publishes nothing before its first tick.
   *
   * @param localDelivery receives the updates for this controller's own view
   */
  public StatusPublisher(
      EventClock clock,
      EventLoopLag lag,
      CoreSettings settings,
      Effects effects,
      Metrics metrics,
      ClusterView view,
      StatusUpdateSequence updates,
      Consumer<StatusUpdate> localDelivery) {
    this.clock = clock;
    this.lag = lag;
    this.settings = settings;
    this.effects = effects;
    this.metrics = metrics;
    this.view = view;
    this.updates = updates;
    this.localDelivery = localDelivery;
  }

  /** Requests an update after a change; it is sent as soon as the minimum interval has passed. */
  public void requestPublish() {
    publishRequested = true;
  }

  /** Adds the rejection of the start to the next update. */
  void rejectStart(StartRequest start, String reason) {
    LOG.debug(
        "start rejected job={} task={} attempt={} machine={} reason={}",
        start.job(),
        start.task(),
        start.attempt(),
        start.machine(),
        reason);
    metrics.increment("refusals");
    rejections.add(
        new StartRejection(start.machine(), start.job(), start.task(), start.attempt(), reason));
    publishRequested = true;
  }

  /** Publishes an update if one is requested, and at least once in each regular interval. */
  void tick(long now) {
    long elapsedMs = now - lastPublishMs;
    long minGapMs = lag.stretchedGapMs(STATUS_UPDATE_INTERVAL_MIN_MS);
    if ((publishRequested && elapsedMs >= minGapMs) || elapsedMs >= STATUS_UPDATE_INTERVAL_MS) {
      publish();
    }
  }

  private void publish() {
    if (!updates.ready()) {
      return;
    }
    publishRequested = false;
    long now = clock.now();
    lastPublishMs = now;
    List<ManagedMachine> changed = updates.beginUpdate(now);
    List<StartRejection> newRejections = new ArrayList<>(rejections);
    rejections.clear();
    for (String peer : settings.peers()) {
      effects.send(peer, updates.composeFor(view.peer(peer), now, newRejections));
    }
    localDelivery.accept(
        updates.composeForSelf(view.peer(settings.node()), changed, newRejections));
  }
}
