package mallowstall.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import mallowstall.core.model.JobSpec;

/** Polls open jobs, each in turn at one of the controllers, and notes when they were told. */
final class JobPoller {
  /** Time in milliseconds without an answer after which a job counts as forgotten. */
  private static final long FORGOTTEN_MS = 75_000;

  private static final long POLL_INTERVAL_MS = 5_000;

  private final Simulation sim;
  private final Map<String, Long> lastToldMs = new LinkedHashMap<>();
  private long longestSilenceMs;
  private int polls;
  private int told;

  JobPoller(Simulation sim, List<JobSpec> jobs) {
    this.sim = sim;
    jobs.forEach(job -> lastToldMs.put(job.id(), sim.nowMs));
  }

  /** Polls the jobs for this time. */
  void run(long durationMs) {
    for (long until = sim.nowMs + durationMs; sim.nowMs < until; ) {
      int asked = 0;
      for (String job : lastToldMs.keySet()) {
        poll(job, Simulation.NODES.get((asked + polls) % Simulation.NODES.size()));
        asked++;
        sim.runUntil(sim.nowMs + POLL_INTERVAL_MS / lastToldMs.size());
      }
    }
    lastToldMs.values().forEach(this::noteSilence);
  }

  private void poll(String job, String node) {
    SimulatedController controller = sim.controllers.get(node);
    if (!controller.running) {
      return;
    }
    polls++;
    sim.users.query(
        controller,
        job,
        answer -> {
          sim.checker.onAnswer(sim.nowMs, job, answer.status(), answer.state());
          if (answer.state() != null) {
            told++;
            noteSilence(lastToldMs.put(job, sim.nowMs));
          }
        });
  }

  private void noteSilence(long sinceMs) {
    longestSilenceMs = Math.max(longestSilenceMs, sim.nowMs - sinceMs);
  }

  /** Returns the longest time in milliseconds for which a job was not told. */
  long longestSilenceMs() {
    return longestSilenceMs;
  }

  /** Returns how many polls were told a state, and the longest silence. */
  String summary() {
    return told + " of " + polls + " polls told, longest silence " + longestSilenceMs;
  }

  void assertNothingForgotten() {
    assertTrue(longestSilenceMs < FORGOTTEN_MS, summary());
    assertEquals(List.of(), sim.checker.violations, summary());
  }
}
