package mallowstall;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.util.Map;
import java.util.TreeMap;
import mallowstall.core.Metrics;
import org.HdrHistogram.Histogram;

/** Counters through Micrometer, latencies in HdrHistograms; few names, so bounded in size. */
final class Meters implements Metrics {
  private static final long MAX_US = 60_000_000;

  /** Made with the first counter: it takes a tenth of the processor time from exec to serving. */
  private SimpleMeterRegistry registry;

  private final Map<String, Counter> counters = new TreeMap<>();
  private final Map<String, Histogram> times = new TreeMap<>();

  @Override
  public void count(String what) {
    counters.computeIfAbsent(what, this::counter).increment();
  }

  private Counter counter(String name) {
    if (registry == null) {
      registry = new SimpleMeterRegistry();
    }
    return registry.counter(name);
  }

  @Override
  public void time(String what, long ms) {
    timeNanos(what, ms * 1_000_000);
  }

  void timeNanos(String what, long nanos) {
    times
        .computeIfAbsent(what, k -> new Histogram(MAX_US, 2))
        .recordValue(Math.min(MAX_US, Math.max(0, nanos / 1_000)));
  }

  String text() {
    StringBuilder b = new StringBuilder();
    for (Map.Entry<String, Counter> entry : counters.entrySet()) {
      b.append("mallowstall_")
          .append(entry.getKey())
          .append("_total ")
          .append((long) entry.getValue().count())
          .append('\n');
    }
    for (Map.Entry<String, Histogram> mapEntry : times.entrySet()) {
      Histogram h = mapEntry.getValue();
      String n = "mallowstall_" + mapEntry.getKey() + "_seconds";
      for (double q : new double[] {0.5, 0.95, 0.99}) {
        b.append(n)
            .append("{quantile=\"")
            .append(q)
            .append("\"} ")
            .append(h.getValueAtPercentile(q * 100) / 1e6)
            .append('\n');
      }
      b.append(n).append("_count ").append(h.getTotalCount()).append('\n');
    }
    return b.toString();
  }
}
