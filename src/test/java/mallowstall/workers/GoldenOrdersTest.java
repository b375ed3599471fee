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

/** The exact orders to workers, and the reports that answer them. */
class GoldenOrdersTest {
  private static final List<WorkerCommand> COMMANDS =
      List.of(
          new WorkerCommand(CommandKind.START, "wk-1", 0, 33_554_437, 0),
          new WorkerCommand(CommandKind.STOP, "wk-2", 99_999, 6, 4.5),
          new WorkerCommand(CommandKind.STOP, "wk-2", 3, 7, 0),
          new WorkerCommand(CommandKind.REMOVE, "wk-3", 1, 8, 9));

  private static TaskReport task(int number, TaskState state, ExitReason why, boolean saved) {
    return new TaskReport("wk-1", number, 10 + number, state, why, saved);
  }

  private static Heartbeat report() {
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
  void ordersAreSentAsEverAndTheirAnswersUnderstood() throws Exception {
    try (LoopbackServer server = new LoopbackServer()) {
      WorkerHttpAdapter workers =
          new WorkerHttpAdapter(null, server.group().next(), Runnable::run, 10);
      String to = server.address();
      String report = Fixtures.text("worker-report.json");

      CommandResult done =
          server.answer(200, report, then -> workers.sendCommands(to, 17, 3, COMMANDS, then));
      CommandResult not =
          server.answer(409, report, then -> workers.sendCommands(to, 17, 3, List.of(), then));
      CommandResult wrong =
          server.answer(400, "{}", then -> workers.sendCommands(to, 17, 3, List.of(), then));
      CommandResult unknown =
          server.answer(500, "{}", then -> workers.sendCommands(to, 17, 3, List.of(), then));
      CommandResult unread =
          server.answer(200, "{}", then -> workers.sendCommands(to, 17, 3, List.of(), then));

      assertEquals(new CommandResult(ResultCode.OK, report()), done);
      assertEquals(new CommandResult(ResultCode.CONFLICT, report()), not);
      assertEquals(new CommandResult(ResultCode.CONFLICT, null), wrong);
      assertEquals(new CommandResult(ResultCode.OUTCOME_UNKNOWN, null), unknown);
      assertEquals(new CommandResult(ResultCode.OK, null), unread);
      Fixtures.assertSame("worker-orders.txt", server.requests());
    }
  }
}
