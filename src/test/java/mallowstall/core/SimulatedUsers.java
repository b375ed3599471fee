package mallowstall.core;

import static mallowstall.core.model.JobSpecBuilder.batchJob;
import static mallowstall.core.model.JobSpecBuilder.service;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import mallowstall.core.model.ApiResponse;
import mallowstall.core.model.JobSpec;

/** The users: they submit jobs, ask about them until these are over, and cancel some. */
final class SimulatedUsers {
  private final Simulation simulation;

  final List<String> jobs = new ArrayList<>();

  private int nextUnplaceableNumber;

  SimulatedUsers(Simulation simulation) {
    this.simulation = simulation;
  }

  /** Asks this controller, whose adapter refuses the kinds of jobs that its version lacks. */
  void submitAt(SimulatedController node, JobSpec spec, Consumer<ApiResponse> reply) {
    if (spec.isService() && !node.supportsServices()) {
      node.enqueueEvent(
          () ->
              node.core.rejectSubmission(
                  spec.id(),
                  "oficio must be batch",
                  simulation.recorder.toUser(node, spec.id(), reply)));
    } else {
      node.enqueueEvent(
          () -> node.core.submit(spec, simulation.recorder.toUser(node, spec.id(), reply)));
    }
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
    long asked = simulation.nowMs;
    boolean[] answered = {false};
    if (node.running) {
      submitAt(
          node,
          spec,
          answer -> {
            answered[0] = true;
            if (simulation.random.nextDouble() < simulation.messageLossRate) {
              answered[0] = false;
            } // the user doesn't get it
            else {
              recordAnswer(asked, spec.id(), answer);
            }
            if (answered[0] && answer.state() != null) {
              poll(spec.id());
            } else {
              simulation.schedule(1_000, () -> submitWithRetry(spec, until));
            }
          });
    }
    simulation.schedule(
        5_000,
        () -> {
          if (!answered[0]
              && simulation.nowMs - asked >= 5_000
              && simulation.checker.lastState(spec.id()) == null) {
            submitWithRetry(spec, until);
          }
        });
  }

  private SimulatedController randomController() {
    return simulation.controllers.get(Simulation.NODES.get(simulation.random.nextInt(3)));
  }

  private void query(SimulatedController node, String id, Consumer<ApiResponse> user) {
    node.enqueueEvent(() -> node.core.query(id, simulation.recorder.toUser(node, id, user)));
  }

  /** A request made at {@code asked} is answered. */
  private void recordAnswer(long asked, String id, ApiResponse answer) {
    simulation.checker.onAnswer(simulation.nowMs, asked, id, answer.status(), answer.state());
  }

  private void poll(String id) {
    if (simulation.checker.isOver(id) && simulation.random.nextInt(4) > 0) {
      return;
    }
    SimulatedController node = randomController();
    long asked = simulation.nowMs;
    if (node.running) {
      query(node, id, answer -> recordAnswer(asked, id, answer));
    }
    simulation.schedule(2_000 + simulation.random.nextInt(3_000), () -> poll(id));
  }

  void cancel(String id) {
    simulation.checker.onCancelRequested(id);
    SimulatedController node = randomController();
    if (!node.running) {
      simulation.schedule(1_000, () -> cancel(id));
      return;
    }
    long asked = simulation.nowMs;
    node.enqueueEvent(
        () ->
            node.core.cancel(
                id,
                simulation.recorder.toUser(
                    node,
                    id,
                    answer -> {
                      recordAnswer(asked, id, answer);
                      if (answer.state() == null && answer.status() != 404) {
                        simulation.schedule(1_000, () -> cancel(id));
                      }
                    })));
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

  /** Cancels up to that many running jobs within 200 ms; up to eight of their machines pause. */
  void cancelRunningJobs(int count, long hangMs) {
    List<String> ids = new ArrayList<>(simulation.checker.runningJobs());
    Set<String> machines = new TreeSet<>();
    for (int i = 0; i < count && !ids.isEmpty(); i++) {
      String id = ids.remove(simulation.random.nextInt(ids.size()));
      simulation.countFault("cancelNow");
      machines.addAll(simulation.checker.machinesOf(id));
      simulation.schedule(simulation.random.nextInt(200), () -> cancel(id));
    }
    if (hangMs <= 0) {
      return;
    }
    int hung = 0;
    for (String machineId : machines) {
      SimulatedWorker worker = simulation.workers.get(machineId);
      if (worker == null || hung++ >= 8) {
        continue;
      }
      simulation.countFault("cancelNow, hang");
      worker.pause(hangMs);
    }
  }

  /**
   * Within 20 s so many requests that users shouldn't send: submissions of accepted jobs again,
   * over or not, cancellations of done jobs, questions about no job, jobs that can never run.
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
        simulation.checker.isOver(id) ? "oddRequests, over again" : "oddRequests, again");
    long asked = simulation.nowMs;
    submitAt(node, simulation.checker.spec(id), answer -> recordAnswer(asked, id, answer));
  }

  /** A job of an unknown team, or whose tasks fit on no machine. */
  private void submitUnplaceable(SimulatedController node) {
    simulation.countFault("oddRequests, impossible");
    boolean team = simulation.random.nextBoolean();
    String id = String.format("wk-9%05d", nextUnplaceableNumber++);
    JobSpec spec =
        batchJob(id)
            .tasks(1 + simulation.random.nextInt(4))
            .cpus(team ? 1 : 9)
            .team(team ? "nobody" : "free")
            .build();
    node.enqueueEvent(
        () ->
            node.core.submit(
                spec,
                simulation.recorder.toUser(
                    node,
                    id,
                    answer -> {
                      simulation.checker.onUnplaceableAnswer(simulation.nowMs, id, answer.status());
                      simulation.schedule(500, () -> queryJob(id));
                    })));
  }

  /** A service of more replicas than its team may run at once is asked for. */
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
}
