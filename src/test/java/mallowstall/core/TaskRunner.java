package mallowstall.core;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import mallowstall.core.model.ExitReason;
import mallowstall.core.model.JobSpec;
import mallowstall.core.model.TaskState;
import mallowstall.core.model.WorkerCommand;

/** Runs the tasks of one worker: fetches their images, starts the tasks and ends them. */
final class TaskRunner {
  private final Simulation simulation;
  private final SimulatedWorker worker;

  private final Map<String, Long> imageFetchedAtMs = new HashMap<>();

  private final Set<String> cachedImages = new HashSet<>();

  /** When the last fetch of an image ends, unless it is given up, by image. */
  private final Map<String, Long> fetchEndsMs = new HashMap<>();

  /** Tasks that are done on this worker. A later attempt ends as done without running again. */
  private final Set<String> completedTasks = new HashSet<>();

  /** Attempts that were on the machine and are not listed any more. They must not start again. */
  private final Set<String> formerAttempts = new HashSet<>();

  /** Number of starts that are refused as if the machine were full. */
  int startsToRefuse;

  TaskRunner(Simulation simulation, SimulatedWorker worker) {
    this.simulation = simulation;
    this.worker = worker;
  }

  /** Forgets former attempts when a session begins, for which no earlier command is executed. */
  void beginSession() {
    formerAttempts.clear();
  }

  void execute(WorkerCommand command) {
    String key = command.job() + "/" + command.task() + "#" + command.attempt();
    SimulatedTask task = worker.tasks.get(key);
    switch (command.kind()) {
      case START -> {
        if (task != null) {
          return;
        }
        if (!formerAttempts.add(key)) {
          simulation.checker.onFormerAttemptStarted(simulation.nowMs, worker.id, key);
        }
        task = new SimulatedTask();
        task.job = command.job();
        task.task = command.task();
        task.attempt = command.attempt();
        worker.tasks.put(key, task);
        worker.heartbeatDue = true;
        for (SimulatedTask other : worker.tasks.values()) {
          if (other != task
              && other.job.equals(task.job)
              && other.task == task.task
              && other.state != TaskState.EXITED) {
            task.state = TaskState.EXITED;
            task.exitReason = ExitReason.BUSY;
            return;
          }
        }
        if (startsToRefuse > 0) {
          startsToRefuse--;
          task.state = TaskState.EXITED;
          task.exitReason = ExitReason.INSUFFICIENT_CAPACITY;
          return;
        }
        task.state = TaskState.FETCHING;
        SimulatedTask newTask = task;
        int step = ++task.step;
        scheduleStep(newTask, imageFetchMs(command.job()), () -> startRunning(newTask, key, step));
      }
      case STOP -> {
        if (task == null || task.state == TaskState.EXITED) {
          return;
        }
        exit(task, ExitReason.STOPPED);
      }
      case REMOVE -> {
        if (task != null && task.state == TaskState.EXITED) {
          worker.tasks.remove(key);
        }
      }
    }
  }

  /** Returns the time in milliseconds until the machine has the image of the job. */
  private long imageFetchMs(String job) {
    if (simulation.fetchesBySize) {
      return imageFetchMs(simulation.checker.spec(job));
    }
    if (imageFetchedAtMs.containsKey(job)) {
      return 1;
    }
    return simulation.imageFetchMs > 0
        ? simulation.imageFetchMs
        : 500 + simulation.random.nextInt(2_000);
  }

  /** Returns the same if images are fetched by their size, once for all tasks that need them. */
  private long imageFetchMs(JobSpec spec) {
    if (cachedImages.contains(spec.image())) {
      return 1;
    }
    if (!isFetching(spec.image())) {
      double rate = simulation.cloudState.fetchRateOf(worker.type);
      double variation = 2.0 / 3 + simulation.random.nextDouble() * 2 / 3;
      long fetchMs = (long) (spec.imageGb() * 1_000 / (rate * variation));
      fetchEndsMs.put(spec.image(), simulation.nowMs + fetchMs);
    }
    return Math.max(1, fetchEndsMs.get(spec.image()) - simulation.nowMs);
  }

  /** Returns whether a task that was started before waits for the image. */
  private boolean isFetching(String image) {
    return worker.tasks.values().stream()
        .filter(task -> task.state == TaskState.FETCHING && task.dueMs > 0)
        .anyMatch(task -> simulation.checker.spec(task.job).image().equals(image));
  }

  private void scheduleStep(SimulatedTask task, long ms, Runnable then) {
    task.dueMs = simulation.nowMs + ms;
    simulation.schedule(ms, () -> runWhenDue(task, then));
  }

  private void runWhenDue(SimulatedTask task, Runnable then) {
    if (simulation.nowMs < task.dueMs) {
      simulation.schedule(task.dueMs - simulation.nowMs, () -> runWhenDue(task, then));
    } else {
      then.run();
    }
  }

  private void startRunning(SimulatedTask task, String key, int step) {
    if (worker.dead
        || worker.tasks.get(key) != task
        || task.step != step
        || task.state != TaskState.FETCHING) {
      return;
    }
    imageFetchedAtMs.put(task.job, simulation.nowMs);
    cachedImages.add(simulation.checker.spec(task.job).image());
    if (completedTasks.contains(task.job + "/" + task.task)) {
      simulation.countFault("result kept");
      exit(task, ExitReason.DONE);
      return;
    }
    task.state = TaskState.RUNNING;
    worker.heartbeatDue = true;
    simulation.checker.onStarted(
        simulation.nowMs,
        new InvariantChecker.RunningTask(
            worker.id, task.job, task.task, worker.type, worker.zone, worker.spot));
    if (simulation.checker.isService(task.job) && !worker.faulty) {
      if (simulation.replicaExitRate > 0
          && simulation.random.nextDouble() < simulation.replicaExitRate) {
        scheduleRandomExit(task, key);
      }
      return;
    }
    scheduleStep(
        task,
        worker.faulty ? 1 : runDurationMs(task),
        () -> exitIfRunning(task, key, worker.faulty ? ExitReason.ERROR : ExitReason.DONE));
  }

  private void scheduleRandomExit(SimulatedTask task, String key) {
    ExitReason reason = simulation.random.nextBoolean() ? ExitReason.DONE : ExitReason.ERROR;
    simulation.countFault("replica ended: " + reason);
    scheduleStep(task, simulation.random.nextInt(20_000), () -> exitIfRunning(task, key, reason));
  }

  private void exitIfRunning(SimulatedTask task, String key, ExitReason reason) {
    if (worker.dead || worker.tasks.get(key) != task || task.state != TaskState.RUNNING) {
      return;
    }
    exit(task, reason);
  }

  private long runDurationMs(SimulatedTask task) {
    Long taskSpecificMs = simulation.taskRunMsByTask.get(task.job + "/" + task.task);
    return taskSpecificMs != null
        ? taskSpecificMs
        : simulation.taskRunMs > 0
            ? simulation.taskRunMs
            : 1_000 + simulation.random.nextInt(6_000);
  }

  void exit(SimulatedTask task, ExitReason reason) {
    boolean wasRunning = task.state == TaskState.RUNNING;
    task.state = TaskState.EXITED;
    task.exitReason = reason;
    worker.heartbeatDue = true;
    if (wasRunning) {
      simulation.checker.onStopped(worker.id, task.job, task.task, reason == ExitReason.DONE);
    }
    if (reason == ExitReason.DONE) {
      completedTasks.add(task.job + "/" + task.task);
    }
    if (wasRunning && reason == ExitReason.DONE) {
      simulation.users.maybeCancelAtEnd(task.job);
    }
  }
}
