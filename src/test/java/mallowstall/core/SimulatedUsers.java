package mallowstall.core;

import static mallowstall.core.model.JobSpecBuilder.batchJob;
import static mallowstall.core.model.JobSpecBuilder.service;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import mallowstall.core.model.ApiResponse;
import mallowstall.core.model.JobSpec;
import mallowstall.core.model.JobSpecBuilder;

/** The simulated users. They submit jobs, query them until they have ended, and cancel some. */
final class SimulatedUsers {
  /** How long a user waits for the answer to a query, as the protocol specifies. */
  private static final long QUERY_TIMEOUT_MS = 2_000;

  /** How long a user waits for the answer to a submission or a cancellation. */
  private static final long REQUEST_TIMEOUT_MS = 5_000;

  private static final int POLL_INTERVAL_SPREAD_MS = 3_000;

  private final Simulation simulation;

  /** The shortest time in milliseconds between two polls of a job. */
  long pollIntervalMinMs = 2_000;

  final List<String> jobs = new ArrayList<>();

  /** Jobs that a user queries periodically until they have ended. */
  private final Set<String> polledJobs = new HashSet<>();

  private int nextUnplaceableNumber;

  SimulatedUsers(Simulation simulation) {
    this.simulation = simulation;
  }

  /**
   * Returns the callback for the answer to a request that a user sends now. An answer that arrives
   * after the user's timeout is lost.
   */
  private Consumer<ApiResponse> answerCallback(
      SimulatedController node, String id, long timeoutMs, Consumer<ApiResponse> user) {
    long requestedMs = simulation.nowMs;
    Consumer<ApiResponse> beforeTimeout =
        answer -> {
          if (simulation.nowMs - requestedMs < timeoutMs) {
            user.accept(answer);
          } else {
            simulation.countFault("answer after the user gave up");
          }
        };
    return simulation.recorder.toUser(node, id, node.answerAfterEvent(beforeTimeout));
  }

  /**
   * Submits the job at this controller. If the program version of the controller lacks services,
   * its adapter rejects a service as malformed.
   */
  void submitAt(SimulatedController node, JobSpec spec, Consumer<ApiResponse> reply) {
    if (spec.isService() && !node.supportsServices()) {
      submitMalformedAt(node, spec.id(), "oficio must be batch", reply);
      return;
    }
    Consumer<ApiResponse> user = answerCallback(node, spec.id(), REQUEST_TIMEOUT_MS, reply);
    node.enqueueEvent(() -> node.core.submit(spec, user));
  }

  private void submitMalformedAt(
      SimulatedController node, String id, String reason, Consumer<ApiResponse> reply) {
    Consumer<ApiResponse> user = answerCallback(node, id, REQUEST_TIMEOUT_MS, reply);
    node.enqueueEvent(() -> node.core.rejectSubmission(id, reason, user));
  }

  void submit(JobSpec spec) {
    simulation.checker.onSubmitted(spec);
    jobs.add(spec.id());
    submitWithRetry(spec, simulation.nowMs + 60_000);
  }

  private void submitWithRetry(JobSpec spec, long until) {
    if (simulation.nowMs > until) {
      return;
    }
    SimulatedController node = randomController();
    long requestedMs = simulation.nowMs;
    boolean[] retried = {false};
    boolean[] answered = {false};
    Runnable retry =
        () -> {
          if (!answered[0] && !retried[0]) {
            retried[0] = true;
            submitWithRetry(spec, until);
          }
        };
    if (node.running) {
      submitAt(
          node,
          spec,
          answer -> {
            boolean lost = simulation.random.nextDouble() < simulation.messageLossRate;
            if (!lost) {
              recordAnswer(requestedMs, spec.id(), answer);
            }
            answered[0] = !lost && answer.state() != null;
            if (!answered[0]) {
              simulation.schedule(1_000, retry);
            }
          });
    }
    simulation.schedule(REQUEST_TIMEOUT_MS, retry);
  }

  private SimulatedController randomController() {
    return simulation.controllers.get(Simulation.NODES.get(simulation.random.nextInt(3)));
  }

  /** Asks this controller for the state of the job. */
  void query(SimulatedController node, String id, Consumer<ApiResponse> reply) {
    Consumer<ApiResponse> user = answerCallback(node, id, QUERY_TIMEOUT_MS, reply);
    node.enqueueEvent(() -> node.core.query(id, user));
  }

  /**
   * Records the answer to a request that was sent at {@code requestedMs}. If the answer holds a
   * state, the job is accepted and the user polls it from now on.
   */
  private void recordAnswer(long requestedMs, String id, ApiResponse answer) {
    simulation.checker.onAnswer(simulation.nowMs, requestedMs, id, answer.status(), answer.state());
    if (answer.state() != null && polledJobs.add(id)) {
      poll(id);
    }
  }

  private void poll(String id) {
    if (simulation.checker.hasEnded(id) && simulation.random.nextInt(4) > 0) {
      return;
    }
    SimulatedController node = randomController();
    long requestedMs = simulation.nowMs;
    if (node.running) {
      boolean[] answered = {false};
      query(
          node,
          id,
          answer -> {
            answered[0] = answer.state() != null;
            recordAnswer(requestedMs, id, answer);
          });
      simulation.schedule(
          QUERY_TIMEOUT_MS, () -> simulation.checker.onPoll(requestedMs, id, answered[0]));
    }
    simulation.schedule(
        pollIntervalMinMs + simulation.random.nextInt(POLL_INTERVAL_SPREAD_MS), () -> poll(id));
  }

  void cancel(String id) {
    simulation.checker.onCancelRequested(id);
    SimulatedController node = randomController();
    if (!node.running) {
      simulation.schedule(1_000, () -> cancel(id));
      return;
    }
    cancelAt(node, id, () -> simulation.schedule(1_000, () -> cancel(id)));
  }

  private void cancelAt(SimulatedController node, String id, Runnable onUndecided) {
    long requestedMs = simulation.nowMs;
    Consumer<ApiResponse> user =
        answerCallback(
            node,
            id,
            REQUEST_TIMEOUT_MS,
            answer -> {
              recordAnswer(requestedMs, id, answer);
              if (answer.state() == null && answer.status() != 404) {
                onUndecided.run();
              }
            });
    node.enqueueEvent(() -> node.core.cancel(id, user));
  }

  void maybeCancelAtEnd(String job) {
    if (simulation.cancelAtEndRate <= 0) {
      return;
    }
    if (simulation.checker.isService(job)) {
      maybeCancelService(job);
      return;
    }
    if (simulation.checker.remainingTasks(job) > 1) {
      return;
    }
    if (simulation.random.nextDouble() >= simulation.cancelAtEndRate) {
      return;
    }
    simulation.countFault(
        simulation.checker.remainingTasks(job) == 0
            ? "cancelAtEnd"
            : "cancelAtEnd, one task short");
    simulation.schedule(0, () -> cancel(job));
  }

  private void maybeCancelService(String service) {
    if (simulation.random.nextDouble() >= simulation.cancelAtEndRate / 4) {
      return;
    }
    simulation.countFault("cancelAtEnd, replica");
    simulation.schedule(0, () -> cancel(service));
  }

  /**
   * Cancels up to {@code count} running jobs within 200 ms. Up to eight of their machines pause for
   * {@code pauseMs}, or none if it is 0.
   */
  void cancelRunningJobs(int count, long pauseMs) {
    List<String> ids = new ArrayList<>(simulation.checker.runningJobs());
    Set<String> machines = new TreeSet<>();
    for (int i = 0; i < count && !ids.isEmpty(); i++) {
      String id = ids.remove(simulation.random.nextInt(ids.size()));
      simulation.countFault("cancelNow");
      machines.addAll(simulation.checker.machinesOf(id));
      simulation.schedule(simulation.random.nextInt(200), () -> cancel(id));
    }
    if (pauseMs <= 0) {
      return;
    }
    int pausedWorkers = 0;
    for (String machineId : machines) {
      SimulatedWorker worker = simulation.workers.get(machineId);
      if (worker == null || pausedWorkers++ >= 8) {
        continue;
      }
      simulation.countFault("cancelNow, hang");
      worker.pause(pauseMs);
    }
  }

  /**
   * Schedules {@code count} invalid requests within 20 s: repeated submissions of accepted jobs
   * (ended or not), cancellations of done jobs, queries of unknown jobs, and submissions of jobs
   * that can never run.
   */
  void scheduleInvalidRequests(int count) {
    for (int i = 0; i < count; i++) {
      simulation.schedule(simulation.random.nextInt(20_000), this::sendInvalidRequest);
    }
  }

  private void sendInvalidRequest() {
    List<String> answeredJobs = new ArrayList<>();
    List<String> done = new ArrayList<>();
    for (String id : jobs) {
      if (simulation.checker.lastState(id) != null) {
        answeredJobs.add(id);
      }
      if ("done".equals(simulation.checker.lastState(id))) {
        done.add(id);
      }
    }
    SimulatedController node = randomController();
    switch (simulation.random.nextInt(4)) {
      case 0 -> {
        if (!answeredJobs.isEmpty() && node.running) {
          resubmit(node, answeredJobs.get(simulation.random.nextInt(answeredJobs.size())));
        }
      }
      case 1 -> {
        if (!done.isEmpty()) {
          simulation.countFault("oddRequests, cancel done");
          cancel(done.get(simulation.random.nextInt(done.size())));
        }
      }
      case 2 -> {
        simulation.countFault("oddRequests, nobody's");
        queryUnknownJob();
      }
      default -> {
        if (node.running) {
          submitUnplaceable(node);
        }
      }
    }
  }

  private void resubmit(SimulatedController node, String id) {
    simulation.countFault(
        simulation.checker.hasEnded(id) ? "oddRequests, over again" : "oddRequests, again");
    long requestedMs = simulation.nowMs;
    submitAt(node, simulation.checker.spec(id), answer -> recordAnswer(requestedMs, id, answer));
  }

  /** Submits a job whose team is unknown or whose tasks fit on no machine. */
  private void submitUnplaceable(SimulatedController node) {
    simulation.countFault("oddRequests, impossible");
    boolean unknownTeam = simulation.random.nextBoolean();
    String id = String.format("wk-9%05d", nextUnplaceableNumber++);
    JobSpec spec =
        batchJob(id)
            .tasks(1 + simulation.random.nextInt(4))
            .cpus(unknownTeam ? 1 : 9)
            .team(unknownTeam ? "nobody" : "free")
            .build();
    submitAt(
        node,
        spec,
        answer -> {
          simulation.checker.onUnplaceableAnswer(simulation.nowMs, id, answer.status());
          simulation.schedule(500, () -> queryJob(id));
        });
  }

  /** Submits a service with more replicas than its team may run at once. */
  void submitUnplaceableService() {
    SimulatedController node = randomController();
    if (!node.running) {
      return;
    }
    simulation.countFault("impossible service");
    String id = String.format("wk-8%05d", nextUnplaceableNumber++);
    JobSpec tooMany = service(id).tasks(7).cpus(4).team("tight").build();
    submitAt(
        node,
        tooMany,
        answer -> simulation.checker.onUnplaceableAnswer(simulation.nowMs, id, answer.status()));
  }

  void queryUnknownJob() {
    queryJob("wk-999999");
  }

  private void queryJob(String id) {
    SimulatedController node = randomController();
    if (node.running) {
      query(node, id, answer -> recordAnswer(simulation.nowMs, id, answer));
    }
  }

  /** The kinds of requests about one job that users may send at any time. */
  enum RequestKind {
    QUESTION,
    SUBMISSION,
    MALFORMED_SUBMISSION,
    IMPOSSIBLE_SUBMISSION,
    CANCELLATION
  }

  /** Sends one request about a job to this controller, without any retry. */
  void request(SimulatedController node, RequestKind kind, JobSpec spec) {
    String id = spec.id();
    long requestedMs = simulation.nowMs;
    Consumer<ApiResponse> user = answer -> recordAnswer(requestedMs, id, answer);
    switch (kind) {
      case QUESTION -> query(node, id, user);
      case SUBMISSION -> submitAt(node, spec, user);
      case MALFORMED_SUBMISSION -> submitMalformedAt(node, id, "piezas must be a number", user);
      case IMPOSSIBLE_SUBMISSION ->
          submitAt(node, JobSpecBuilder.copyOf(spec).team("nobody").build(), user);
      case CANCELLATION -> {
        simulation.checker.onCancelRequested(id);
        cancelAt(node, id, () -> {});
      }
    }
  }
}
