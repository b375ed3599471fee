package mallowstall.workers;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import mallowstall.Fixtures;
import mallowstall.LoopbackServer;
import mallowstall.core.kernel.CommandResult;
import mallowstall.core.kernel.ResultCode;
import mallowstall.core.model.CommandKind;
import mallowstall.core.model.ExitReason;
import mallowstall.core.model.Heartbeat;
import mallowstall.core.model.TaskReport;
import mallowstall.core.model.TaskState;
import mallowstall.core.model.WorkerCommand;
import org.junit.jupiter.api.Test;

/** Tests the exact direct commands to workers and how the responses are interpreted. */
class GoldenOrdersTest {
  private static final List<WorkerCommand> COMMANDS =
      List.of(
          new WorkerCommand(CommandKind.START, "wk-1", 0, 33_554_437, 0),
          new WorkerCommand(CommandKind.STOP, "wk-2", 99_999, 6, 4.5),
          new WorkerCommand(CommandKind.STOP, "wk-2", 3, 7, 0),
          new WorkerCommand(CommandKind.REMOVE, "wk-3", 1, 8, 9));

  private static TaskReport task(
      int number, TaskState state, ExitReason exitReason, boolean checkpointed) {
    return new TaskReport("wk-1", number, 10 + number, state, exitReason, checkpointed);
  }

  private static Heartbeat heartbeat() {
    return new Heartbeat(
        "m-000001",
        "10.1.0.7:9000",
        "g8",
        "a",
        true,
        3,
        44,
        17,
        29.5,
        List.of(
            task(0, TaskState.FETCHING, null, false),
            task(1, TaskState.RUNNING, null, true),
            task(2, TaskState.CHECKPOINTING, null, false),
            task(3, TaskState.EXITED, ExitReason.DONE, false),
            task(4, TaskState.EXITED, ExitReason.STOPPED, true),
            task(5, TaskState.EXITED, ExitReason.INSUFFICIENT_CAPACITY, false),
            task(6, TaskState.EXITED, ExitReason.BUSY, false),
            task(7, TaskState.EXITED, ExitReason.TASK_NOT_FOUND, false),
            task(8, TaskState.EXITED, ExitReason.ERROR, false),
            task(9, TaskState.EXITED, ExitReason.ERROR, false)));
  }

  @Test
  void commandRequestsAndResponsesMatchGoldenFiles() throws Exception {
    try (LoopbackServer server = new LoopbackServer()) {
      WorkerHttpAdapter workers =
          new WorkerHttpAdapter(null, server.group().next(), Runnable::run, 10);
      String address = server.address();
      String heartbeatJson = Fixtures.text("worker-report.json");

      CommandResult done =
          server.answer(
              200, heartbeatJson, then -> workers.sendCommands(address, 17, 3, COMMANDS, then));
      CommandResult conflict =
          server.answer(
              409, heartbeatJson, then -> workers.sendCommands(address, 17, 3, List.of(), then));
      CommandResult invalid =
          server.answer(400, "{}", then -> workers.sendCommands(address, 17, 3, List.of(), then));
      CommandResult unknown =
          server.answer(500, "{}", then -> workers.sendCommands(address, 17, 3, List.of(), then));
      CommandResult unreadable =
          server.answer(200, "{}", then -> workers.sendCommands(address, 17, 3, List.of(), then));

      assertEquals(new CommandResult(ResultCode.OK, heartbeat()), done);
      assertEquals(new CommandResult(ResultCode.CONFLICT, heartbeat()), conflict);
      assertEquals(new CommandResult(ResultCode.CONFLICT, null), invalid);
      assertEquals(new CommandResult(ResultCode.OUTCOME_UNKNOWN, null), unknown);
      assertEquals(new CommandResult(ResultCode.OK, null), unreadable);
      Fixtures.assertMatchesFixture("worker-orders.txt", server.requests());
    }
  }
}
