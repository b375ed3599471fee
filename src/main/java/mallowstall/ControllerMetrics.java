package mallowstall;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import mallowstall.core.kernel.Metrics;
import org.HdrHistogram.Histogram;

/**
 * Counts events with Micrometer and records latencies in HdrHistograms. The set of names is fixed,
 * so memory use is bounded. Used on the event loop only.
 */
final class ControllerMetrics implements Metrics {
  /** Latency of submissions, from the receipt of the complete request to the response. */
  static final String SUBMIT = "submit";

  /** Latency of the state service's transactions. */
  static final String STATE_WRITE = "state_write";

  /** Latency of scale-out requests to the cloud. */
  static final String CLOUD_SCALE_OUT = "cloud_rent";

  /** Maximum duration in microseconds. Longer durations are recorded as this value. */
  private static final long MAX_MICROS = 60_000_000;

  private static final int SIGNIFICANT_DIGITS = 2;
  private static final double[] QUANTILES = {0.5, 0.95, 0.99};

  /**
   * Null before the first counter. It is created late because its creation takes a tenth of the
   * processor time from process start to serving.
   */
  private SimpleMeterRegistry registry;

  private final Map<String, Counter> counters = new TreeMap<>();
  private final Map<String, Histogram> latencies = new TreeMap<>();
  private final Map<String, Long> gauges = new TreeMap<>();

  @Override
  public void increment(String name) {
    counters.computeIfAbsent(name, this::counter).increment();
  }

  private Counter counter(String name) {
    if (registry == null) {
      registry = new SimpleMeterRegistry();
    }
    return registry.counter(name);
  }

  @Override
  public void recordDuration(String name, long ms) {
    recordNanos(name, TimeUnit.MILLISECONDS.toNanos(ms));
  }

  @Override
  public void setGauge(String name, long value) {
    gauges.put(name, value);
  }

  /** Records a duration in nanoseconds. */
  void recordNanos(String name, long nanos) {
    latencies
        .computeIfAbsent(name, key -> new Histogram(MAX_MICROS, SIGNIFICANT_DIGITS))
        .recordValue(Math.min(MAX_MICROS, Math.max(0, nanos / 1_000)));
  }

  /** Returns all metrics in the text format of Prometheus, with latencies in seconds. */
  String prometheusText() {
    StringBuilder text = new StringBuilder();
    for (Map.Entry<String, Counter> entry : counters.entrySet()) {
      text.append("mallowstall_")
          .append(entry.getKey())
          .append("_total ")
          .append((long) entry.getValue().count())
          .append('\n');
    }
    for (Map.Entry<String, Long> entry : gauges.entrySet()) {
      text.append("mallowstall_")
          .append(entry.getKey())
          .append(' ')
          .append(entry.getValue())
          .append('\n');
    }
    for (Map.Entry<String, Histogram> entry : latencies.entrySet()) {
      appendLatency(text, "mallowstall_" + entry.getKey() + "_seconds", entry.getValue());
    }
    return text.toString();
  }

  private static void appendLatency(StringBuilder text, String name, Histogram histogram) {
    for (double quantile : QUANTILES) {
      text.append(name)
          .append("{quantile=\"")
          .append(quantile)
          .append("\"} ")
          .append(histogram.getValueAtPercentile(quantile * 100) / 1e6)
          .append('\n');
    }
    text.append(name).append("_count ").append(histogram.getTotalCount()).append('\n');
  }
}
