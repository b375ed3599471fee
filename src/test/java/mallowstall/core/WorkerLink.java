package mallowstall.core;

import java.util.List;
import java.util.function.Consumer;
import mallowstall.Constants;
import mallowstall.core.kernel.CommandResult;
import mallowstall.core.kernel.ResultCode;
import mallowstall.core.model.WorkerCommand;

/** Delivers the direct commands of one controller to workers. */
final class WorkerLink {
  private final Simulation simulation;
  private final SimulatedController node;

  WorkerLink(Simulation simulation, SimulatedController node) {
    this.simulation = simulation;
    this.node = node;
  }

  void sendCommands(
      String addr,
      long token,
      long session,
      List<WorkerCommand> commands,
      Consumer<CommandResult> then) {
    long decidedMs = simulation.nowMs;
    node.afterEvent(
        () -> {
          SimulatedWorker worker = simulation.workers.get(addr);
          boolean late = simulation.nowMs - decidedMs >= Constants.COMMAND_REQUEST_TIMEOUT_MS;
          if (late && worker != null) {
            executeAfterTimeout(worker, token, session, commands, then);
          } else {
            transmit(worker, token, session, commands, then);
          }
        });
  }

  /**
   * Executes commands that a paused controller sends after their timeout. The controller receives
   * an unknown outcome at once, although the worker executes the commands.
   */
  private void executeAfterTimeout(
      SimulatedWorker worker,
      long token,
      long session,
      List<WorkerCommand> commands,
      Consumer<CommandResult> then) {
    worker.runWhenResumed(() -> worker.executeCommands(token, session, commands));
    node.scheduleReply(0, () -> then.accept(new CommandResult(ResultCode.OUTCOME_UNKNOWN, null)));
  }

  /**
   * Sends the commands to the worker. If the worker is null, no connection is accepted and the
   * commands are rejected.
   */
  private void transmit(
      SimulatedWorker worker,
      long token,
      long session,
      List<WorkerCommand> commands,
      Consumer<CommandResult> then) {
    if (worker == null || worker.isPartitionedFrom(node) || worker.inboundBlocked) {
      if (worker != null && worker.isPartitionedFrom(node) && simulation.random.nextBoolean()) {
        // delayed by the partition and executed late
        simulation.schedule(
            1_000 + simulation.random.nextInt(15_000),
            () -> worker.runWhenResumed(() -> worker.executeCommands(token, session, commands)));
        node.scheduleReply(
            Constants.COMMAND_REQUEST_TIMEOUT_MS,
            () -> then.accept(new CommandResult(ResultCode.OUTCOME_UNKNOWN, null)));
      } else {
        node.scheduleReply(
            Constants.COMMAND_REQUEST_TIMEOUT_MS,
            () ->
                then.accept(
                    new CommandResult(
                        worker == null ? ResultCode.REJECTED : ResultCode.OUTCOME_UNKNOWN, null)));
      }
      return;
    }
    double draw = simulation.random.nextDouble();
    if (simulation.delayAllCommands) {
      simulation.delayedCommands++;
      draw = 0;
    }
    if (draw < simulation.messageLossRate || simulation.delayAllCommands) {
      simulation.schedule(
          !simulation.delayAllCommands && draw < simulation.messageLossRate / 2
              ? simulation.randomDelayMs()
              : 500 + simulation.random.nextInt(20_000),
          () -> worker.runWhenResumed(() -> worker.executeCommands(token, session, commands)));
      node.scheduleReply(
          Constants.COMMAND_REQUEST_TIMEOUT_MS,
          () -> then.accept(new CommandResult(ResultCode.OUTCOME_UNKNOWN, null)));
      return;
    }
    int startedProcess = node.processNumber;
    simulation.schedule(
        simulation.randomDelayMs(),
        () -> {
          if (worker.isPaused()) {
            queueCommands(worker, token, session, commands, startedProcess, then);
            return;
          }
          if (worker.outboundBlocked) {
            simulation.countFault("mute, ordered");
          }
          CommandResult reply = worker.executeCommands(token, session, commands);
          if (startedProcess != node.processNumber) {
            return;
          }
          if (simulation.executedCommands.answersLost) {
            node.scheduleReply(
                Constants.COMMAND_REQUEST_TIMEOUT_MS,
                () -> then.accept(new CommandResult(ResultCode.OUTCOME_UNKNOWN, null)));
          } else {
            node.scheduleReply(simulation.randomDelayMs(), () -> then.accept(reply));
          }
        });
  }

  /**
   * Executes the commands when the paused worker resumes, which may be long after the controller's
   * request has timed out.
   */
  private void queueCommands(
      SimulatedWorker worker,
      long token,
      long session,
      List<WorkerCommand> commands,
      int startedProcess,
      Consumer<CommandResult> then) {
    simulation.countFault("hang, ordered");
    boolean[] finished = {false};
    if (startedProcess == node.processNumber) {
      node.scheduleReply(
          Constants.COMMAND_REQUEST_TIMEOUT_MS,
          () -> {
            if (finished[0]) {
              return;
            }
            finished[0] = true;
            then.accept(new CommandResult(ResultCode.OUTCOME_UNKNOWN, null));
          });
    }
    worker.runWhenResumed(
        () -> {
          CommandResult reply = worker.executeCommands(token, session, commands);
          if (reply.code() == ResultCode.OK) {
            simulation.countFault("hang, held orders executed");
          }
          if (startedProcess != node.processNumber) {
            return;
          }
          node.scheduleReply(
              simulation.randomDelayMs(),
              () -> {
                if (finished[0]) {
                  return;
                }
                finished[0] = true;
                then.accept(reply);
              });
        });
  }
}
