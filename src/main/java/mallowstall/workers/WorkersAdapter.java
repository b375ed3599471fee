package mallowstall.workers;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpMethod;
import it.unimi.dsi.fastutil.objects.Object2ObjectLinkedOpenHashMap;
import java.io.IOException;
import java.util.ArrayList;
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
import mallowstall.net.HttpClient;
import mallowstall.net.HttpServer.Request;
import mallowstall.net.HttpServer.Responder;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Reports of workers and the commands that answer them. */
public final class WorkersAdapter {
  /** A task as a worker reports it. */
  record TaskWire(
      @JsonProperty("pieza") String task,
      @JsonProperty("intento") long attempt,
      @JsonProperty("estado") String state,
      @JsonProperty("motivo") String why,
      @JsonProperty("saved") boolean saved) {}

  /** A report as it is sent. */
  record ReportWire(
      @JsonProperty("sierra") String machine,
      @JsonProperty("addr") String addr,
      @JsonProperty("calibre") String type,
      @JsonProperty("patio") String zone,
      @JsonProperty("prestados") boolean spot,
      @JsonProperty("turno") long session,
      @JsonProperty("folio") long seq,
      @JsonProperty("baston") long token,
      @JsonProperty("aviso_s") Double noticeS,
      @JsonProperty("piezas") List<TaskWire> tasks) {}

  /** A command as it is sent. */
  @JsonInclude(JsonInclude.Include.NON_NULL)
  record CommandWire(
      @JsonProperty("orden") String op,
      @JsonProperty("pieza") String task,
      @JsonProperty("intento") long attempt,
      @JsonProperty("respiro_s") Double graceS) {}

  /** The answer to a report. */
  record AnswerWire(
      @JsonProperty("baston") long token, @JsonProperty("ordenes") List<CommandWire> commands) {}

  /** The controller that the worker should report to. */
  @JsonInclude(JsonInclude.Include.NON_NULL)
  record ElsewhereWire(@JsonProperty("capataz") String reportTo) {}

  /** Commands to a worker's own address. */
  record OrdersWire(
      @JsonProperty("baston") long token,
      @JsonProperty("turno") long session,
      @JsonProperty("ordenes") List<CommandWire> commands) {}

  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.workers");

  /** Connections kept to workers' own addresses; beyond it they are opened anew. */
  private final int maxClients;

  private final ObjectMapper json;
  private final Core core;
  private final EventLoop loop;
  private final Consumer<Runnable> events;
  private final Object2ObjectLinkedOpenHashMap<String, HttpClient> clients =
      new Object2ObjectLinkedOpenHashMap<>();

  /** Turns reports into events of the core, and its commands into requests. */
  public WorkersAdapter(
      ObjectMapper json, Core core, EventLoop loop, Consumer<Runnable> events, int maxClients) {
    this.maxClients = maxClients;
    this.json = json;
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
    byte[] body;
    try {
      body = json.writeValueAsBytes(new OrdersWire(token, session, wire(commands)));
    } catch (IOException failure) {
      throw new IllegalStateException(failure);
    }
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

  private Report read(byte[] body) throws IOException {
    ReportWire w = json.readValue(body, ReportWire.class);
    if (w == null || w.machine == null || w.type == null || w.zone == null || w.session < 1) {
      throw new IOException("a report needs its machine, type, zone and session");
    }
    List<TaskReport> tasks = new ArrayList<>();
    if (w.tasks != null) {
      for (TaskWire task : w.tasks) {
        int slash = task.task == null ? -1 : task.task.lastIndexOf('/');
        if (slash < 1) {
          throw new IOException("a task has no valid name");
        }
        int n;
        try {
          n = Integer.parseInt(task.task.substring(slash + 1));
        } catch (NumberFormatException e) {
          throw new IOException("a task has no valid name", e);
        }
        tasks.add(
            new TaskReport(
                task.task.substring(0, slash),
                n,
                task.attempt,
                state(task.state),
                why(task),
                task.saved));
      }
    }
    return new Report(
        w.machine, w.addr, w.type, w.zone, w.spot, w.session, w.seq, w.token, w.noticeS, tasks);
  }

  private static TaskState state(String s) {
    return switch (s == null ? "" : s) {
      case "running" -> TaskState.RUNNING;
      case "flushing" -> TaskState.SAVING;
      case "ended" -> TaskState.EXITED;
      default -> TaskState.FETCHING;
    };
  }

  private static ExitReason why(TaskWire task) {
    if (!"ended".equals(task.state)) {
      return null;
    }
    return switch (task.why == null ? "" : task.why) {
      case "done" -> ExitReason.DONE;
      case "stopped" -> ExitReason.STOPPED;
      case "full" -> ExitReason.NO_ROOM;
      case "busy" -> ExitReason.BUSY;
      case "no_such" -> ExitReason.UNKNOWN;
      default -> ExitReason.ERROR;
    };
  }

  private void answer(ReportAnswer answer, Responder responder) {
    try {
      if (answer.status() == 421) {
        responder.answer(421, json.writeValueAsBytes(new ElsewhereWire(answer.reportTo())), 0);
      } else if (answer.status() != 200) {
        responder.answer(answer.status(), new byte[] {'{', '}'}, 1);
      } else {
        List<CommandWire> out = wire(answer.commands());
        responder.answer(200, json.writeValueAsBytes(new AnswerWire(answer.token(), out)), 0);
      }
    } catch (IOException failure) {
      throw new IllegalStateException(failure);
    }
  }

  private static List<CommandWire> wire(List<Command> commands) {
    List<CommandWire> out = new ArrayList<>();
    for (Command command : commands) {
      String op =
          switch (command.kind()) {
            case START -> "run";
            case STOP -> "kill";
            case FORGET -> "reap";
          };
      out.add(
          new CommandWire(
              op,
              command.job() + "/" + command.task(),
              command.attempt(),
              command.kind() == CommandKind.STOP ? command.graceS() : null));
    }
    return out;
  }
}
