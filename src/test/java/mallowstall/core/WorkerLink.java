package mallowstall.core;

import java.util.List;
import java.util.function.Consumer;
import mallowstall.Constants;
import mallowstall.core.kernel.CommandResult;
import mallowstall.core.kernel.ResultCode;
import mallowstall.core.model.WorkerCommand;

/** The way of one controller's direct commands to workers. */
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
            executeGivenUp(worker, token, session, commands, then);
          } else {
            transmit(worker, token, session, commands, then);
          }
        });
  }

  /** Executed though the controller, which has stood still since, gives up on them at once. */
  private void executeGivenUp(
      SimulatedWorker worker,
      long token,
      long session,
      List<WorkerCommand> commands,
      Consumer<CommandResult> then) {
    worker.runWhenResumed(() -> worker.executeCommands(token, session, commands));
    node.scheduleReply(0, () -> then.accept(new CommandResult(ResultCode.OUTCOME_UNKNOWN, null)));
  }

  /** To the worker, or to none: then no connection is accepted. */
  private void transmit(
      SimulatedWorker worker,
      long token,
      long session,
      List<WorkerCommand> commands,
      Consumer<CommandResult> then) {
    if (worker == null || worker.isPartitionedFrom(node) || worker.inboundBlocked) {
      if (worker != null && worker.isPartitionedFrom(node) && simulation.random.nextBoolean()) {
        // delayed by the partition, executed late
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
    double dice = simulation.random.nextDouble();
    if (simulation.delayAllCommands) {
      simulation.delayedCommands++;
      dice = 0;
    }
    if (dice < simulation.messageLossRate || simulation.delayAllCommands) {
      simulation.schedule(
          !simulation.delayAllCommands && dice < simulation.messageLossRate / 2
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
          if (startedProcess == node.processNumber) {
            node.scheduleReply(simulation.randomDelayMs(), () -> then.accept(reply));
          }
        });
  }

  /** Executed when the machine goes on, perhaps long after it was given up on. */
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
