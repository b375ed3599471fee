package mallowstall.workers;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import mallowstall.core.Core;
import mallowstall.core.Model.*;
import mallowstall.net.HttpServer.Request;
import mallowstall.net.HttpServer.Responder;

/** Reports of workers and the commands that answer them. */
public final class WorkersAdapter {
  record TaskWire(
      @JsonProperty("pieza") String task,
      @JsonProperty("intento") long attempt,
      @JsonProperty("estado") String state,
      @JsonProperty("motivo") String why,
      @JsonProperty("saved") boolean saved) {}

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

  @JsonInclude(JsonInclude.Include.NON_NULL)
  record CommandWire(
      @JsonProperty("orden") String op,
      @JsonProperty("pieza") String task,
      @JsonProperty("intento") long attempt,
      @JsonProperty("respiro_s") Double graceS) {}

  record AnswerWire(
      @JsonProperty("baston") long token, @JsonProperty("ordenes") List<CommandWire> commands) {}

  @JsonInclude(JsonInclude.Include.NON_NULL)
  record ElsewhereWire(@JsonProperty("capataz") String reportTo) {}

  private final ObjectMapper json;
  private final Core core;

  public WorkersAdapter(ObjectMapper json, Core core) {
    this.json = json;
    this.core = core;
  }

  public void report(Request q, Responder r) throws IOException {
    ReportWire w = json.readValue(q.body(), ReportWire.class);
    if (w == null || w.machine == null || w.type == null || w.zone == null || w.session < 1) {
      throw new IOException("a report needs its machine, type, zone and session");
    }
    List<TaskReport> tasks = new ArrayList<>();
    if (w.tasks != null) {
      for (TaskWire t : w.tasks) {
        int slash = t.task == null ? -1 : t.task.lastIndexOf('/');
        if (slash < 1) throw new IOException("a task has no valid name");
        int n;
        try {
          n = Integer.parseInt(t.task.substring(slash + 1));
        } catch (NumberFormatException e) {
          throw new IOException("a task has no valid name", e);
        }
        tasks.add(
            new TaskReport(
                t.task.substring(0, slash), n, t.attempt, state(t.state), why(t), t.saved));
      }
    }
    core.report(
        new Report(
            w.machine, w.addr, w.type, w.zone, w.spot, w.session, w.seq, w.token, w.noticeS, tasks),
        a -> answer(a, r));
  }

  private static TaskState state(String s) {
    return switch (s == null ? "" : s) {
      case "running" -> TaskState.RUNNING;
      case "flushing" -> TaskState.SAVING;
      case "ended" -> TaskState.EXITED;
      default -> TaskState.FETCHING;
    };
  }

  private static Why why(TaskWire t) {
    if (!"ended".equals(t.state)) return null;
    return switch (t.why == null ? "" : t.why) {
      case "done" -> Why.DONE;
      case "stopped" -> Why.STOPPED;
      case "full" -> Why.NO_ROOM;
      case "busy" -> Why.BUSY;
      case "no_such" -> Why.UNKNOWN;
      default -> Why.ERROR;
    };
  }

  private void answer(ReportAnswer a, Responder r) {
    try {
      if (a.status() == 421) {
        r.answer(421, json.writeValueAsBytes(new ElsewhereWire(a.reportTo())), 0);
      } else if (a.status() != 200) {
        r.answer(a.status(), new byte[] {'{', '}'}, 1);
      } else {
        List<CommandWire> out = new ArrayList<>();
        for (Command c : a.commands()) {
          String op =
              switch (c.kind()) {
                case START -> "run";
                case STOP -> "kill";
                case FORGET -> "reap";
              };
          out.add(
              new CommandWire(
                  op,
                  c.job() + "/" + c.task(),
                  c.attempt(),
                  c.kind() == CommandKind.STOP ? c.graceS() : null));
        }
        r.answer(200, json.writeValueAsBytes(new AnswerWire(a.token(), out)), 0);
      }
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }
}
