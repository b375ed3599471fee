package mallowstall.workers;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.util.List;
import mallowstall.core.model.CommandKind;
import mallowstall.core.model.ExitReason;
import mallowstall.core.model.Heartbeat;
import mallowstall.core.model.TaskReport;
import mallowstall.core.model.TaskState;
import mallowstall.core.model.WorkerCommand;
import mallowstall.json.JsonReader;
import mallowstall.json.JsonWriter;

/**
 * Decodes heartbeats from JSON and encodes commands as JSON, with the field names of {@link
 * WorkerProtocol}.
 */
final class HeartbeatCodec {
  private HeartbeatCodec() {}

  /**
   * Reads a heartbeat.
   *
   * @throws IOException if the body is not a valid heartbeat; the message names the wrong field
   */
  static Heartbeat read(byte[] body) throws IOException {
    Heartbeat heartbeat = JsonReader.read(body, HeartbeatCodec::readFields);
    if (heartbeat == null) {
      throw new IOException("the heartbeat is null: expected an object");
    }
    require(WorkerProtocol.MACHINE, heartbeat.machine());
    require(WorkerProtocol.MACHINE_TYPE, heartbeat.type());
    require(WorkerProtocol.ZONE, heartbeat.zone());
    if (heartbeat.session() < 1) {
      throw new IOException(
          WorkerProtocol.SESSION + " is " + heartbeat.session() + ": expected 1 or more");
    }
    return heartbeat;
  }

  private static void require(String field, String value) throws IOException {
    if (value == null) {
      throw new IOException(field + " is missing: expected a string");
    }
  }

  private static Heartbeat readFields(JsonReader in) throws IOException {
    String machine = null;
    String address = null;
    String type = null;
    String zone = null;
    boolean spot = false;
    long session = 0;
    long sequence = 0;
    long fencingToken = 0;
    Double noticeS = null;
    List<TaskReport> tasks = List.of();
    if (!in.enterObjectIfPresent()) {
      return null;
    }
    while (in.nextField()) {
      switch (in.field()) {
        case WorkerProtocol.MACHINE -> machine = in.string();
        case WorkerProtocol.ADDRESS -> address = in.string();
        case WorkerProtocol.MACHINE_TYPE -> type = in.string();
        case WorkerProtocol.ZONE -> zone = in.string();
        case WorkerProtocol.SPOT -> spot = in.booleanOrFalse();
        case WorkerProtocol.SESSION -> session = in.longOrZero();
        case WorkerProtocol.SEQUENCE -> sequence = in.longOrZero();
        case WorkerProtocol.FENCING_TOKEN -> fencingToken = in.longOrZero();
        case WorkerProtocol.INTERRUPTION_NOTICE_S -> noticeS = in.doubleOrNull();
        case WorkerProtocol.TASKS -> tasks = readTasks(in);
        default -> in.skip();
      }
    }
    return new Heartbeat(
        machine, address, type, zone, spot, session, sequence, fencingToken, noticeS, tasks);
  }

  private static List<TaskReport> readTasks(JsonReader in) throws IOException {
    List<TaskReport> tasks = in.list(HeartbeatCodec::readTask);
    return tasks == null ? List.of() : tasks;
  }

  private static TaskReport readTask(JsonReader in) throws IOException {
    String name = null;
    long attempt = 0;
    TaskState state = TaskState.FETCHING;
    String exitReason = null;
    boolean checkpointed = false;
    in.enterObject();
    while (in.nextField()) {
      switch (in.field()) {
        case WorkerProtocol.TASK -> name = in.string();
        case WorkerProtocol.ATTEMPT -> attempt = in.longOrZero();
        case WorkerProtocol.STATE -> state = state(in.string());
        case WorkerProtocol.EXIT_REASON -> exitReason = in.string();
        case WorkerProtocol.CHECKPOINTED -> checkpointed = in.booleanOrFalse();
        default -> in.skip();
      }
    }
    int slash = name == null ? -1 : name.lastIndexOf('/');
    if (slash < 1) {
      throw invalidTaskName(name);
    }
    return new TaskReport(
        name.substring(0, slash),
        taskIndex(name, slash + 1),
        attempt,
        state,
        state == TaskState.EXITED ? exitReason(exitReason) : null,
        checkpointed);
  }

  private static IOException invalidTaskName(String name) {
    return new IOException(
        WorkerProtocol.TASK + " is " + name + ": expected a job and an index like wk-000412/3");
  }

  private static int taskIndex(String name, int from) throws IOException {
    try {
      return Integer.parseInt(name, from, name.length(), 10);
    } catch (NumberFormatException e) {
      throw invalidTaskName(name);
    }
  }

  private static TaskState state(String value) {
    return switch (value == null ? "" : value) {
      case WorkerProtocol.STATE_RUNNING -> TaskState.RUNNING;
      case WorkerProtocol.STATE_CHECKPOINTING -> TaskState.CHECKPOINTING;
      case WorkerProtocol.STATE_EXITED -> TaskState.EXITED;
      default -> TaskState.FETCHING;
    };
  }

  private static ExitReason exitReason(String value) {
    return switch (value == null ? "" : value) {
      case WorkerProtocol.EXIT_DONE -> ExitReason.DONE;
      case WorkerProtocol.EXIT_STOPPED -> ExitReason.STOPPED;
      case WorkerProtocol.EXIT_INSUFFICIENT_CAPACITY -> ExitReason.INSUFFICIENT_CAPACITY;
      case WorkerProtocol.EXIT_BUSY -> ExitReason.BUSY;
      case WorkerProtocol.EXIT_TASK_NOT_FOUND -> ExitReason.TASK_NOT_FOUND;
      default -> ExitReason.ERROR;
    };
  }

  /** Writes the fields of a direct command request, which is sent to the worker's own address. */
  static void writeCommands(
      JsonGenerator out, long fencingToken, long session, List<WorkerCommand> commands)
      throws IOException {
    out.writeNumberField(WorkerProtocol.FENCING_TOKEN, fencingToken);
    out.writeNumberField(WorkerProtocol.SESSION, session);
    JsonWriter.list(out, WorkerProtocol.COMMANDS, commands, HeartbeatCodec::writeCommand);
  }

  /** Writes the fields of a response with status 200 to a heartbeat. */
  static void writeResponse(JsonGenerator out, long fencingToken, List<WorkerCommand> commands)
      throws IOException {
    out.writeNumberField(WorkerProtocol.FENCING_TOKEN, fencingToken);
    JsonWriter.list(out, WorkerProtocol.COMMANDS, commands, HeartbeatCodec::writeCommand);
  }

  private static void writeCommand(JsonGenerator out, WorkerCommand command) throws IOException {
    out.writeStartObject();
    out.writeStringField(
        WorkerProtocol.COMMAND,
        switch (command.kind()) {
          case START -> WorkerProtocol.COMMAND_START;
          case STOP -> WorkerProtocol.COMMAND_STOP;
          case REMOVE -> WorkerProtocol.COMMAND_REMOVE;
        });
    out.writeStringField(WorkerProtocol.TASK, command.job() + "/" + command.task());
    out.writeNumberField(WorkerProtocol.ATTEMPT, command.attempt());
    if (command.kind() == CommandKind.STOP) {
      out.writeNumberField(WorkerProtocol.GRACE_PERIOD_S, command.gracePeriodS());
    }
    out.writeEndObject();
  }
}
