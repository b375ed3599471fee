package mallowstall.users;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;
import mallowstall.Constants;
import mallowstall.core.Core;
import mallowstall.core.Model.JobKind;
import mallowstall.core.Model.JobSpec;
import mallowstall.core.Model.Priority;
import mallowstall.core.Model.UserAnswer;
import mallowstall.net.HttpServer.Request;
import mallowstall.net.HttpServer.Responder;

/** Submissions, questions and cancellations of users. */
public final class UsersAdapter {
  record JobWire(
      @JsonProperty("ref") String id,
      @JsonProperty("lote") String jobClass,
      @JsonProperty("cuadrilla") String team,
      @JsonProperty("oficio") String kind,
      @JsonProperty("urgencia") String priority,
      @JsonProperty("piezas") Integer tasks,
      @JsonProperty("vcpus") Double cpus,
      @JsonProperty("gpus") Double gpus,
      @JsonProperty("mem_gb") Double memoryGb,
      @JsonProperty("molde") String image,
      @JsonProperty("image_gb") Double imageGb,
      @JsonProperty("calibres") List<String> types,
      @JsonProperty("patio") String zone,
      @JsonProperty("one_zone") Boolean oneZone,
      @JsonProperty("scatter") Boolean spread,
      @JsonProperty("prestados") Boolean spot,
      @JsonProperty("aserrado_s") Double estimateS,
      @JsonProperty("marca_s") Double checkpointS,
      @JsonProperty("apilado_s") Double saveS,
      @JsonProperty("despacho_s") Double deadlineS) {}

  @JsonInclude(JsonInclude.Include.NON_NULL)
  record StateWire(
      @JsonProperty("ref") String id,
      @JsonProperty("estado") String state,
      @JsonProperty("done") Integer done,
      @JsonProperty("running") Integer running) {}

  record ErrorWire(@JsonProperty("error") String error) {}

  /** A submission that is malformed; its message is for the user. */
  static final class Malformed extends Exception {
    private static final long serialVersionUID = 1;

    /** The job it is about, if that much can be read. */
    final String id;

    Malformed(String m) {
      this(m, null);
    }

    Malformed(String m, String id) {
      super(m);
      this.id = id;
    }
  }

  private static final Pattern ID = Pattern.compile("wk-[0-9]{1,18}");
  private static final Map<String, Priority> PRIORITIES =
      Map.of(
          "prod",
          Priority.PRODUCTION,
          "high",
          Priority.HIGH,
          "standard",
          Priority.NORMAL,
          "best_effort",
          Priority.LOW);

  private static final Map<String, JobKind> KINDS =
      Map.of("batch", JobKind.BATCH, "daemon", JobKind.SERVICE);

  private final ObjectMapper json;
  private final Core core;

  public UsersAdapter(ObjectMapper json, Core core) {
    this.json = json;
    this.core = core;
  }

  public void submit(Request q, Responder r) {
    JobSpec spec;
    try {
      spec = parse(q.body());
    } catch (Malformed e) {
      if (e.id == null) {
        error(r, 400, e.getMessage());
      } else {
        core.refuse(e.id, e.getMessage(), a -> answer(a, r, true));
      }
      return;
    }
    core.submit(spec, a -> answer(a, r, true));
  }

  public void query(String id, Responder r) {
    if (!ID.matcher(id).matches()) {
      error(r, 404, "no such job");
    } else {
      core.query(id, a -> answer(a, r, false));
    }
  }

  public void cancel(String id, Responder r) {
    if (!ID.matcher(id).matches()) {
      error(r, 404, "no such job");
    } else {
      core.cancel(id, a -> answer(a, r, true));
    }
  }

  /** Reads and checks a submission. */
  JobSpec parse(byte[] body) throws Malformed {
    JobWire w;
    try {
      w = json.readValue(body, JobWire.class);
    } catch (JsonMappingException e) {
      String path = e.getPath().isEmpty() ? "the body" : e.getPath().get(0).getFieldName();
      throw new Malformed(path + " has the wrong type or is out of range");
    } catch (JsonProcessingException e) {
      throw new Malformed("the body is not JSON");
    } catch (IOException e) {
      throw new Malformed("the body can't be read");
    }
    if (w == null) {
      throw new Malformed("the body is not an object");
    }
    text("ref", w.id);
    if (!ID.matcher(w.id).matches()) {
      throw new Malformed("ref must look like wk-000412");
    }
    try {
      return spec(w);
    } catch (Malformed e) {
      throw new Malformed(e.getMessage(), w.id);
    }
  }

  private static JobSpec spec(JobWire w) throws Malformed {
    text("lote", w.jobClass);
    text("cuadrilla", w.team);
    text("oficio", w.kind);
    JobKind kind = KINDS.get(w.kind);
    if (kind == null) {
      throw new Malformed("oficio must be batch or daemon");
    }
    text("urgencia", w.priority);
    Priority p = PRIORITIES.get(w.priority);
    if (p == null) {
      throw new Malformed("urgencia must be prod, high, standard or best_effort");
    }
    if (w.tasks == null) {
      throw new Malformed("piezas is missing");
    }
    if (w.tasks < 1 || w.tasks > Constants.TASKS_MAX) {
      throw new Malformed("piezas must be 1 to " + Constants.TASKS_MAX);
    }
    amount("vcpus", w.cpus);
    amount("gpus", w.gpus);
    amount("mem_gb", w.memoryGb);
    if (w.cpus <= 0) {
      throw new Malformed("vcpus must be above 0");
    }
    text("molde", w.image);
    amount("image_gb", w.imageGb);
    if (w.types != null) {
      for (String t : w.types) text("calibres", t);
      if (w.types.isEmpty()) {
        throw new Malformed("calibres must be null or name a machine type");
      }
    }
    if (w.zone != null) {
      text("patio", w.zone);
    }
    flag("one_zone", w.oneZone);
    flag("scatter", w.spread);
    flag("prestados", w.spot);
    amount("aserrado_s", w.estimateS);
    amount("marca_s", w.checkpointS);
    amount("apilado_s", w.saveS);
    if (w.deadlineS != null) {
      amount("despacho_s", w.deadlineS);
    }
    return new JobSpec(
        w.id,
        w.jobClass,
        w.team,
        p,
        w.tasks,
        w.cpus,
        w.gpus,
        w.memoryGb,
        w.image,
        w.imageGb,
        w.types,
        w.zone,
        w.oneZone,
        w.spread,
        w.spot,
        w.estimateS,
        w.checkpointS,
        w.saveS,
        w.deadlineS,
        kind);
  }

  private static void text(String name, String v) throws Malformed {
    if (v == null) {
      throw new Malformed(name + " is missing");
    }
    if (v.isEmpty() || v.length() > 200) {
      throw new Malformed(name + " must have 1 to 200 characters");
    }
  }

  private static void amount(String name, Double v) throws Malformed {
    if (v == null) {
      throw new Malformed(name + " is missing");
    }
    if (!Double.isFinite(v) || v < 0 || v > 1e9) {
      throw new Malformed(name + " must be a number from 0 to 1e9");
    }
  }

  private static void flag(String name, Boolean v) throws Malformed {
    if (v == null) {
      throw new Malformed(name + " is missing");
    }
  }

  private void error(Responder r, int status, String message) {
    try {
      r.answer(status, json.writeValueAsBytes(new ErrorWire(message)), 0);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(e);
    }
  }

  private void answer(UserAnswer a, Responder r, boolean brief) {
    try {
      if (a.state() == null) {
        r.answer(a.status(), json.writeValueAsBytes(new ErrorWire(a.message())), a.retryAfterS());
      } else {
        StateWire w =
            new StateWire(
                a.id(),
                a.state(),
                brief ? null : (Integer) a.done(),
                brief ? null : (Integer) a.running());
        r.answer(a.status(), json.writeValueAsBytes(w), 0);
      }
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(e);
    }
  }
}
