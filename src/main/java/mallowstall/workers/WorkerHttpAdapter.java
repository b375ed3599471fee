package mallowstall.workers;

import com.fasterxml.jackson.core.JsonGenerator;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpMethod;
import it.unimi.dsi.fastutil.objects.Object2ObjectLinkedOpenHashMap;
import java.io.IOException;
import java.util.List;
import java.util.function.Consumer;
import mallowstall.Constants;
import mallowstall.config.Settings;
import mallowstall.core.Core;
import mallowstall.core.Effects.Code;
import mallowstall.core.Effects.OrderReply;
import mallowstall.core.Model.Command;
import mallowstall.core.Model.CommandKind;
import mallowstall.core.Model.ExitReason;
import mallowstall.core.Model.Report;
import mallowstall.core.Model.ReportAnswer;
import mallowstall.core.Model.TaskReport;
import mallowstall.core.Model.TaskState;
import mallowstall.json.JsonReader;
import mallowstall.json.JsonWriter;
import mallowstall.net.HttpClient;
import mallowstall.net.HttpServer.Request;
import mallowstall.net.HttpServer.Responder;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Reports of workers and the commands that answer them. */
public final class WorkerHttpAdapter {
  private static final String TASK = "pieza";
  private static final String ATTEMPT = "intento";
  private static final String SESSION = "turno";
  private static final String TOKEN = "baston";
  private static final String COMMANDS = "ordenes";
  private static final byte[] EMPTY = {'{', '}'};
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.workers");

  /** Connections kept to workers' own addresses; beyond it they are opened anew. */
  private final int maxClients;

  private final Core core;
  private final EventLoop loop;
  private final Consumer<Runnable> events;
  private final Object2ObjectLinkedOpenHashMap<String, HttpClient> clients =
      new Object2ObjectLinkedOpenHashMap<>();

  /** Turns reports into events of the core, and its commands into requests. */
  public WorkerHttpAdapter(Core core, EventLoop loop, Consumer<Runnable> events, int maxClients) {
    this.maxClients = maxClients;
    this.core = core;
    this.loop = loop;
    this.events = events;
  }

  /** POST /hello. */
  public void report(Request request, Responder responder) throws IOException {
    core.report(read(request.body()), reportAnswer -> answer(reportAnswer, responder));
  }

  /** Commands to the worker's own address. */
  public void order(
      String addr, long token, long session, List<Command> commands, Consumer<OrderReply> then) {
    HttpClient c = clients.getAndMoveToLast(addr);
    if (c == null) {
      try {
        c = new HttpClient(loop, Settings.address(addr), 1);
      } catch (IllegalArgumentException e) {
        then.accept(new OrderReply(Code.REFUSED, null));
        return;
      }
      // the longest unused one makes room: closing all at once, with calls under way on some,
      // left those open for good and made every other worker's next command connect anew
      if (clients.size() >= maxClients) {
        clients.removeFirst().retire();
      }
      clients.put(addr, c);
    }
    byte[] body = JsonWriter.object(out -> writeOrders(out, token, session, commands));
    c.call(
        HttpMethod.POST,
        "/orders",
        body,
        Constants.ORDER_TIMEOUT_MS,
        reply -> events.accept(() -> then.accept(orderReply(reply))));
  }

  private OrderReply orderReply(HttpClient.Reply reply) {
    Code code =
        switch (reply.status()) {
          case 200 -> Code.OK;
          case 409, 400 -> Code.CONFLICT;
          case -1 -> Code.REFUSED;
          default -> Code.UNKNOWN;
        };
    if (reply.status() != 200 && reply.status() != 409) {
      return new OrderReply(code, null);
    }
    try {
      return new OrderReply(code, read(reply.body()));
    } catch (IOException failure) {
      LOG.error("unreadable report in a worker's answer: {}", failure.getMessage());
      return new OrderReply(code, null);
    }
  }

  private static Report read(byte[] body) throws IOException {
    Report report = JsonReader.read(body, WorkerHttpAdapter::report);
    if (report == null
        || report.machine() == null
        || report.type() == null
        || report.zone() == null
        || report.session() < 1) {
      throw new IOException("a report needs its machine, type, zone and session");
    }
    return report;
  }

  private static Report report(JsonReader in) throws IOException {
    String machine = null;
    String addr = null;
    String type = null;
    String zone = null;
    boolean spot = false;
    long session = 0;
    long seq = 0;
    long token = 0;
    Double noticeS = null;
    List<TaskReport> tasks = null;
    if (!in.enterObjectIfPresent()) {
      return null;
    }
    while (in.nextField()) {
      switch (in.field()) {
        case "sierra" -> machine = in.string();
        case "addr" -> addr = in.string();
        case "calibre" -> type = in.string();
        case "patio" -> zone = in.string();
        case "prestados" -> spot = in.booleanOrFalse();
        case SESSION -> session = in.longOrZero();
        case "folio" -> seq = in.longOrZero();
        case TOKEN -> token = in.longOrZero();
        case "aviso_s" -> noticeS = in.doubleOrNull();
        case "piezas" -> tasks = in.list(WorkerHttpAdapter::task);
        default -> in.skip();
      }
    }
    return new Report(
        machine,
        addr,
        type,
        zone,
        spot,
        session,
        seq,
        token,
        noticeS,
        tasks == null ? List.of() : tasks);
  }

  private static TaskReport task(JsonReader in) throws IOException {
    String name = null;
    long attempt = 0;
    TaskState state = TaskState.FETCHING;
    String why = null;
    boolean saved = false;
    in.enterObject();
    while (in.nextField()) {
      switch (in.field()) {
        case TASK -> name = in.string();
        case ATTEMPT -> attempt = in.longOrZero();
        case "estado" -> state = state(in.string());
        case "motivo" -> why = in.string();
        case "saved" -> saved = in.booleanOrFalse();
        default -> in.skip();
      }
    }
    int slash = name == null ? -1 : name.lastIndexOf('/');
    if (slash < 1) {
      throw new IOException("a task has no valid name");
    }
    return new TaskReport(
        name.substring(0, slash),
        number(name, slash + 1),
        attempt,
        state,
        state == TaskState.EXITED ? exitReason(why) : null,
        saved);
  }

  private static int number(String name, int from) throws IOException {
    try {
      return Integer.parseInt(name, from, name.length(), 10);
    } catch (NumberFormatException e) {
      throw new IOException("a task has no valid name", e);
    }
  }

  private static TaskState state(String s) {
    return switch (s == null ? "" : s) {
      case "running" -> TaskState.RUNNING;
      case "flushing" -> TaskState.SAVING;
      case "ended" -> TaskState.EXITED;
      default -> TaskState.FETCHING;
    };
  }

  private static ExitReason exitReason(String why) {
    return switch (why == null ? "" : why) {
      case "done" -> ExitReason.DONE;
      case "stopped" -> ExitReason.STOPPED;
      case "full" -> ExitReason.NO_ROOM;
      case "busy" -> ExitReason.BUSY;
      case "no_such" -> ExitReason.UNKNOWN;
      default -> ExitReason.ERROR;
    };
  }

  private static void answer(ReportAnswer answer, Responder responder) {
    switch (answer.status()) {
      case 200 ->
          responder.answer(
              200,
              JsonWriter.object(out -> writeCommands(out, answer.token(), answer.commands())),
              0);
      case 421 -> responder.answer(421, elsewhere(answer.reportTo()), 0);
      default -> responder.answer(answer.status(), EMPTY, 1);
    }
  }

  /** Names the controller that the worker should report to, if one is known. */
  private static byte[] elsewhere(String node) {
    return node == null ? EMPTY : JsonWriter.object(out -> out.writeStringField("capataz", node));
  }

  private static void writeOrders(
      JsonGenerator out, long token, long session, List<Command> commands) throws IOException {
    out.writeNumberField(TOKEN, token);
    out.writeNumberField(SESSION, session);
    JsonWriter.list(out, COMMANDS, commands, WorkerHttpAdapter::writeCommand);
  }

  private static void writeCommands(JsonGenerator out, long token, List<Command> commands)
      throws IOException {
    out.writeNumberField(TOKEN, token);
    JsonWriter.list(out, COMMANDS, commands, WorkerHttpAdapter::writeCommand);
  }

  private static void writeCommand(JsonGenerator out, Command command) throws IOException {
    out.writeStartObject();
    out.writeStringField(
        "orden",
        switch (command.kind()) {
          case START -> "run";
          case STOP -> "kill";
          case FORGET -> "reap";
        });
    out.writeStringField(TASK, command.job() + "/" + command.task());
    out.writeNumberField(ATTEMPT, command.attempt());
    if (command.kind() == CommandKind.STOP) {
      out.writeNumberField("respiro_s", command.graceS());
    }
    out.writeEndObject();
  }
}
