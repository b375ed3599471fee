package mallowstall.core;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import mallowstall.core.model.CommandKind;
import mallowstall.core.model.WorkerCommand;

/**
 * The direct commands that workers have executed, which the network may deliver again at any later
 * time. A repeated command has an effect as long as its token and session still match.
 */
final class ExecutedCommands {
  /** Maximum age in milliseconds of a command that is repeated at random. */
  private static final int RANDOM_REPEAT_AGE_MAX_MS = 90_000;

  /** A request that the worker has executed. */
  private record Request(
      SimulatedWorker worker, long token, long session, List<WorkerCommand> commands) {}

  private final Simulation simulation;

  /** A random source of its own, so that a repeat changes no other random draw. */
  private final SplittableRandom random;

  private final List<Request> requests = new ArrayList<>();

  /** Share of requests that are repeated once, up to {@link #RANDOM_REPEAT_AGE_MAX_MS} later. */
  double repeatRate;

  /** Whether the answers to executed requests are lost. */
  boolean answersLost;

  ExecutedCommands(Simulation simulation, long seed) {
    this.simulation = simulation;
    this.random = new SplittableRandom(seed * 31 + 61);
  }

  /** Records a request that the worker has executed, and repeats it later at random. */
  void record(SimulatedWorker worker, long token, long session, List<WorkerCommand> commands) {
    Request request = new Request(worker, token, session, List.copyOf(commands));
    if (repeatRate > 0 && random.nextDouble() < repeatRate) {
      simulation.schedule(random.nextInt(RANDOM_REPEAT_AGE_MAX_MS), () -> repeat(request));
    }
    requests.add(request);
  }

  /** Delivers every executed request once more. */
  void repeatAll() {
    for (Request request : List.copyOf(requests)) {
      repeat(request);
    }
  }

  /** Returns whether a request with a start of this job was executed. */
  boolean containsStartOf(String job) {
    return requests.stream()
        .flatMap(request -> request.commands.stream())
        .anyMatch(command -> command.kind() == CommandKind.START && command.job().equals(job));
  }

  private void repeat(Request request) {
    SimulatedWorker worker = request.worker;
    if (worker.dead) {
      return;
    }
    simulation.countFault("repeatedCommands");
    worker.runWhenResumed(
        () -> worker.executeOnce(request.token, request.session, request.commands));
  }
}
