package mallowstall.core.api;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import mallowstall.core.kernel.EventClock;
import mallowstall.core.kernel.Metrics;
import mallowstall.core.model.JobEntry;
import mallowstall.core.model.UnknownCause;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The open jobs about which users have asked this controller without being told a state, and since
 * when. Jobs that stay among them for long are logged and appear in a gauge. Mutable; confined to
 * the event loop.
 */
final class UntoldRunStates {
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.api");

  /** Time in milliseconds without a told state after which a job is logged, and logged again. */
  private static final long LOG_INTERVAL_MS = 20_000;

  /** Time in milliseconds after the last request about a job after which the job is dropped. */
  private static final long FORGET_MS = 60_000;

  private static final String GAUGE = "run_state_untold_seconds_max";

  private final EventClock clock;
  private final Metrics metrics;
  private final Map<String, Untold> untold = new HashMap<>();
  private long nextCleanupMs;

  /** A job whose state can't be told. */
  private static final class Untold {
    private final long sinceMs;
    private long nextLogMs;
    private long lastAskedMs;

    Untold(long now) {
      sinceMs = now;
      nextLogMs = now + LOG_INTERVAL_MS;
    }
  }

  UntoldRunStates(EventClock clock, Metrics metrics) {
    this.clock = clock;
    this.metrics = metrics;
  }

  /** Records that a user was told the state of the job, or that the job has ended. */
  void recordTold(String job) {
    if (untold.remove(job) != null) {
      updateGauge();
    }
  }

  /** Records that a request about the job was answered 503, since its state isn't known. */
  void recordUntold(JobEntry job, UnknownCause cause) {
    long now = clock.now();
    metrics.increment("run_states_unknown");
    metrics.increment("run_states_unknown_" + cause.name().toLowerCase(Locale.ROOT));
    dropOld(now);
    Untold jobUntold = untold.computeIfAbsent(job.spec().id(), id -> new Untold(now));
    jobUntold.lastAskedMs = now;
    if (now >= jobUntold.nextLogMs) {
      jobUntold.nextLogMs = now + LOG_INTERVAL_MS;
      LOG.info(
          "job state not told job={} for_ms={} cause={} leader={} epoch={}",
          job.spec().id(),
          now - jobUntold.sinceMs,
          cause,
          job.leader(),
          job.epoch());
    }
    updateGauge();
  }

  private void dropOld(long now) {
    if (now >= nextCleanupMs) {
      nextCleanupMs = now + FORGET_MS;
      untold.values().removeIf(job -> now - job.lastAskedMs > FORGET_MS);
    }
  }

  private void updateGauge() {
    long sinceMs = clock.now();
    for (Untold job : untold.values()) {
      sinceMs = Math.min(sinceMs, job.sinceMs);
    }
    metrics.setGauge(GAUGE, (clock.now() - sinceMs) / 1_000);
  }
}
