import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** The load balancer of the protocol's page: which nodes it takes as healthy. */
final class Balancer {
  private static final class Probed {
    final Deque<Boolean> last = new ArrayDeque<>();
    boolean healthy;
    boolean everHealthy;
    int successes;
    int failures;
    double removedS;
  }

  private final Lab lab;
  private final Map<Lab.Node, Probed> probed = new HashMap<>();
  private final Random random = new Random(1);

  Balancer(Lab lab) {
    this.lab = lab;
    for (Lab.Node node : lab.nodes) {
      probed.put(node, new Probed());
      Web.THREADS.execute(() -> probe(node));
    }
  }

  private void probe(Lab.Node node) {
    try {
      while (true) {
        boolean success = lab.get(node, "/ready", 1_000).status() == 200;
        synchronized (this) {
          update(node, probed.get(node), success);
        }
        Thread.sleep(1_000);
      }
    } catch (InterruptedException end) {
      Thread.currentThread().interrupt();
    }
  }

  private void update(Lab.Node node, Probed state, boolean success) {
    state.successes = success ? state.successes + 1 : 0;
    state.failures = success ? 0 : state.failures + 1;
    state.last.addLast(success);
    if (state.last.size() > 6) {
      state.last.removeFirst();
    }
    long failed = state.last.stream().filter(each -> !each).count();
    if (state.healthy && (state.failures >= 2 || failed >= 3)) {
      state.healthy = false;
      state.removedS = lab.nowS();
      lab.record("balancer: " + node.name + " is unhealthy");
    } else if (!state.healthy
        && (state.everHealthy
            ? state.successes >= 2 && lab.nowS() - state.removedS >= 3
            : state.successes >= 1)) {
      state.healthy = true;
      state.everHealthy = true;
      state.last.clear();
      lab.record("balancer: " + node.name + " is healthy");
    }
  }

  /** Returns a healthy node, or null if there is none. */
  synchronized Lab.Node pick() {
    List<Lab.Node> healthy = new ArrayList<>();
    for (Lab.Node node : lab.nodes) {
      if (probed.get(node).healthy) {
        healthy.add(node);
      }
    }
    return healthy.isEmpty() ? null : healthy.get(random.nextInt(healthy.size()));
  }

  /** Asks about a job through the load balancer. */
  Lab.Reply poll(String ref) {
    Lab.Node node = pick();
    if (node == null) {
      lab.record("poll " + ref + ": the load balancer has no healthy node");
      return new Lab.Reply(0, "no healthy node", 0);
    }
    return lab.poll(node, ref);
  }
}
