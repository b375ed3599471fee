package mallowstall.core;

import static mallowstall.core.model.JobSpecBuilder.batchJob;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import mallowstall.core.SimulatedUsers.RequestKind;
import mallowstall.core.model.JobSpec;

/**
 * Injects random faults that make controllers answer late: short pauses, busy processors, slow
 * reads and delayed watches. Most of them coincide with a burst of requests about one job to all
 * controllers.
 */
final class LateAnswerFaults {
  /** Names of the faults that must be injected in the histories of a test. */
  static final Set<String> NAMES =
      Set.of(
          "short pause",
          "short pause, at an answer",
          "busy processor, one",
          "busy processor, all",
          "lagging watch",
          "slow reads",
          "quick restart",
          "burst, new job",
          "burst, known job",
          "burst, QUESTION",
          "burst, SUBMISSION",
          "burst, MALFORMED_SUBMISSION",
          "burst, IMPOSSIBLE_SUBMISSION",
          "burst, CANCELLATION",
          "answer left late",
          "answer after the user gave up");

  /** Time in milliseconds in which the faults and the waves of requests of a burst begin. */
  private static final int BURST_MS = 3_000;

  /** Time in milliseconds in which the requests of one wave are sent. */
  private static final int WAVE_MS = 30;

  /** The kinds of requests to draw from. Queries are most likely, as with real users. */
  private static final List<RequestKind> REQUESTS =
      List.of(
          RequestKind.QUESTION,
          RequestKind.QUESTION,
          RequestKind.QUESTION,
          RequestKind.SUBMISSION,
          RequestKind.MALFORMED_SUBMISSION,
          RequestKind.MALFORMED_SUBMISSION,
          RequestKind.IMPOSSIBLE_SUBMISSION);

  private final Simulation sim;
  private int nextJobNumber;

  LateAnswerFaults(Simulation sim) {
    this.sim = sim;
  }

  /**
   * Schedules {@code count} faults or bursts that begin within the period of {@code periodMs}. The
   * last ones end a few seconds after the period.
   */
  void schedule(int count, int fromMs, int periodMs) {
    for (int i = 0; i < count; i++) {
      sim.schedule(fromMs + sim.random.nextInt(periodMs), this::inject);
    }
  }

  private void inject() {
    switch (sim.random.nextInt(8)) {
      case 0 -> pauseBriefly();
      case 1 -> keepProcessorsBusy();
      default -> {
        startBurst();
        startFaultsOfBurst();
      }
    }
  }

  /** Starts each fault at its own random time, so that the faults coincide in any order. */
  private void startFaultsOfBurst() {
    List<Runnable> faults =
        List.of(
            this::pauseAtNextAnswer,
            this::pauseAtNextAnswer,
            this::pauseBriefly,
            this::keepProcessorsBusy,
            this::stallWatch,
            this::slowReads);
    for (Runnable fault : faults) {
      if (sim.random.nextInt(2) == 0) {
        sim.schedule(sim.random.nextInt(BURST_MS), fault);
      }
    }
    if (sim.random.nextInt(6) == 0) {
      sim.schedule(sim.random.nextInt(BURST_MS), this::restartQuickly);
    }
  }

  /** Pauses a random controller in the middle of its next event, of whatever kind. */
  private void pauseBriefly() {
    sim.countFault("short pause");
    randomController().pauseMs = randomPauseMs();
  }

  /** Pauses a random controller between the decision on its next answer and the sending of it. */
  private void pauseAtNextAnswer() {
    SimulatedController node = randomController();
    sim.countFault("short pause, at an answer");
    node.pauseAtNextAnswerMs = randomPauseMs();
    sim.schedule(BURST_MS, () -> node.pauseAtNextAnswerMs = 0);
  }

  private long randomPauseMs() {
    return 20L + sim.random.nextInt(1_980);
  }

  private void keepProcessorsBusy() {
    boolean all = sim.random.nextInt(3) == 0;
    sim.countFault(all ? "busy processor, all" : "busy processor, one");
    List<SimulatedController> busy =
        all ? List.copyOf(sim.controllers.values()) : List.of(randomController());
    for (SimulatedController node : busy) {
      node.eventCostMs = 3L + sim.random.nextInt(60);
      sim.schedule(1_000 + sim.random.nextInt(4_000), () -> node.eventCostMs = 0);
    }
  }

  private void stallWatch() {
    sim.countFault("lagging watch");
    SimulatedController node = randomController();
    node.watchStalled = true;
    sim.schedule(500 + sim.random.nextInt(4_000), () -> node.watchStalled = false);
  }

  private void slowReads() {
    sim.countFault("slow reads");
    SimulatedController node = randomController();
    node.stateDelayMs = 50L + sim.random.nextInt(900);
    sim.schedule(500 + sim.random.nextInt(3_000), () -> node.stateDelayMs = 0);
  }

  private void restartQuickly() {
    SimulatedController node = randomController();
    if (node.running) {
      sim.countFault("quick restart");
      node.crash(50 + sim.random.nextInt(850));
    }
  }

  /**
   * Starts waves of requests about one job. For a new job they come before, at and after its first
   * submission.
   */
  private void startBurst() {
    List<String> known = knownOpenJobs();
    if (!known.isEmpty() && sim.random.nextInt(3) == 0) {
      sim.countFault("burst, known job");
      startWaves(sim.checker.spec(known.get(sim.random.nextInt(known.size()))));
      return;
    }
    sim.countFault("burst, new job");
    JobSpec spec =
        batchJob(String.format("wk-5%05d", nextJobNumber++))
            .tasks(1 + sim.random.nextInt(2))
            .cpus(1)
            .team("free")
            .build();
    startWaves(spec);
    sim.schedule(sim.random.nextInt(BURST_MS / 2), () -> submitFirst(spec));
  }

  /** Submits the job, and starts a wave of other users' requests about it at the same moment. */
  private void submitFirst(JobSpec spec) {
    sim.users.submit(spec);
    startWave(spec);
  }

  private List<String> knownOpenJobs() {
    List<String> out = new ArrayList<>();
    for (String id : sim.users.jobs) {
      if (sim.checker.lastState(id) != null && !sim.checker.hasEnded(id)) {
        out.add(id);
      }
    }
    return out;
  }

  private void startWaves(JobSpec spec) {
    startWave(spec);
    int waves = 1 + sim.random.nextInt(4);
    for (int i = 0; i < waves; i++) {
      sim.schedule(sim.random.nextInt(BURST_MS), () -> startWave(spec));
    }
    boolean batch = !spec.isService();
    if (batch && sim.random.nextInt(2) == 0) {
      int atMs = sim.random.nextInt(BURST_MS);
      sim.schedule(atMs, () -> request(RequestKind.CANCELLATION, spec));
      sim.schedule(atMs + sim.random.nextInt(WAVE_MS), () -> startWave(spec));
    }
  }

  private void startWave(JobSpec spec) {
    int requests = 3 + sim.random.nextInt(6);
    for (int i = 0; i < requests; i++) {
      RequestKind kind = REQUESTS.get(sim.random.nextInt(REQUESTS.size()));
      sim.schedule(sim.random.nextInt(WAVE_MS), () -> request(kind, spec));
    }
  }

  private void request(RequestKind kind, JobSpec spec) {
    SimulatedController node = randomController();
    boolean submitted = sim.users.jobs.contains(spec.id());
    boolean beforeFirstSubmission = kind == RequestKind.SUBMISSION && !submitted;
    if (node.running && !beforeFirstSubmission) {
      sim.countFault("burst, " + kind);
      sim.users.request(node, kind, spec);
    }
  }

  private SimulatedController randomController() {
    return sim.controllers.get(Simulation.NODES.get(sim.random.nextInt(Simulation.NODES.size())));
  }
}
