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
  /** A submission as it is sent. */
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

  /** A job's state as it is told. */
  @JsonInclude(JsonInclude.Include.NON_NULL)
  record StateWire(
      @JsonProperty("ref") String id,
      @JsonProperty("estado") String state,
      @JsonProperty("done") Integer done,
      @JsonProperty("running") Integer running) {}

  /** Why a request is refused. */
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

  /** Turns users' requests into events of the core. */
  public UsersAdapter(ObjectMapper json, Core core) {
    this.json = json;
    this.core = core;
  }

  /** POST /submissions. */
  public void submit(Request request, Responder responder) {
    JobSpec spec;
    try {
      spec = parse(request.body());
    } catch (Malformed malformed) {
      if (malformed.id == null) {
        error(responder, 400, malformed.getMessage());
      } else {
        core.refuse(
            malformed.id,
            malformed.getMessage(),
            userAnswer -> answer(userAnswer, responder, true));
      }
      return;
    }
    core.submit(spec, a -> answer(a, responder, true));
  }

  /** GET /submissions/{id}. */
  public void query(String id, Responder responder) {
    if (!ID.matcher(id).matches()) {
      error(responder, 404, "no such job");
    } else {
      core.query(id, userAnswer -> answer(userAnswer, responder, false));
    }
  }

  /** POST /submissions/{id}/cancel. */
  public void cancel(String id, Responder responder) {
    if (!ID.matcher(id).matches()) {
      error(responder, 404, "no such job");
    } else {
      core.cancel(id, userAnswer -> answer(userAnswer, responder, true));
    }
  }

  /** Reads and checks a submission. */
  JobSpec parse(byte[] body) throws Malformed {
    JobWire job;
    try {
      job = json.readValue(body, JobWire.class);
    } catch (JsonMappingException e) {
      String path = e.getPath().isEmpty() ? "the body" : e.getPath().get(0).getFieldName();
      throw new Malformed(path + " has the wrong type or is out of range");
    } catch (JsonProcessingException failure) {
      throw new Malformed("the body is not JSON");
    } catch (IOException error) {
      throw new Malformed("the body can't be read");
    }
    if (job == null) {
      throw new Malformed("the body is not an object");
    }
    text("ref", job.id);
    if (!ID.matcher(job.id).matches()) {
      throw new Malformed("ref must look like wk-000412");
    }
    try {
      return spec(job);
    } catch (Malformed malformed) {
      throw new Malformed(malformed.getMessage(), job.id);
    }
  }

  private static JobSpec spec(JobWire job) throws Malformed {
    text("lote", job.jobClass);
    text("cuadrilla", job.team);
    JobKind kind = oneOf("oficio", job.kind, KINDS, "batch or daemon");
    Priority priority =
        oneOf("urgencia", job.priority, PRIORITIES, "prod, high, standard or best_effort");
    checkTasks(job);
    checkPlaces(job);
    amount("aserrado_s", job.estimateS);
    amount("marca_s", job.checkpointS);
    amount("apilado_s", job.saveS);
    if (job.deadlineS != null) {
      amount("despacho_s", job.deadlineS);
    }
    return new JobSpec(
        job.id,
        job.jobClass,
        job.team,
        priority,
        job.tasks,
        job.cpus,
        job.gpus,
        job.memoryGb,
        job.image,
        job.imageGb,
        job.types,
        job.zone,
        job.oneZone,
        job.spread,
        job.spot,
        job.estimateS,
        job.checkpointS,
        job.saveS,
        job.deadlineS,
        kind);
  }

  private static <T> T oneOf(String name, String value, Map<String, T> known, String words)
      throws Malformed {
    text(name, value);
    T found = known.get(value);
    if (found == null) {
      throw new Malformed(name + " must be " + words);
    }
    return found;
  }

  /** How many tasks there are, and what each takes. */
  private static void checkTasks(JobWire job) throws Malformed {
    if (job.tasks == null) {
      throw new Malformed("piezas is missing");
    }
    if (job.tasks < 1 || job.tasks > Constants.TASKS_MAX) {
      throw new Malformed("piezas must be 1 to " + Constants.TASKS_MAX);
    }
    amount("vcpus", job.cpus);
    amount("gpus", job.gpus);
    amount("mem_gb", job.memoryGb);
    if (job.cpus <= 0) {
      throw new Malformed("vcpus must be above 0");
    }
    text("molde", job.image);
    amount("image_gb", job.imageGb);
  }

  /** On which machines they may run. */
  private static void checkPlaces(JobWire job) throws Malformed {
    if (job.types != null) {
      for (String type : job.types) {
        text("calibres", type);
      }
      if (job.types.isEmpty()) {
        throw new Malformed("calibres must be null or name a machine type");
      }
    }
    if (job.zone != null) {
      text("patio", job.zone);
    }
    flag("one_zone", job.oneZone);
    flag("scatter", job.spread);
    flag("prestados", job.spot);
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

  private void error(Responder responder, int status, String message) {
    try {
      responder.answer(status, json.writeValueAsBytes(new ErrorWire(message)), 0);
    } catch (JsonProcessingException failure) {
      throw new IllegalStateException(failure);
    }
  }

  private void answer(UserAnswer answer, Responder responder, boolean brief) {
    try {
      if (answer.state() == null) {
        responder.answer(
            answer.status(),
            json.writeValueAsBytes(new ErrorWire(answer.message())),
            answer.retryAfterS());
      } else {
        StateWire w =
            new StateWire(
                answer.id(),
                answer.state(),
                brief ? null : (Integer) answer.done(),
                brief ? null : (Integer) answer.running());
        responder.answer(answer.status(), json.writeValueAsBytes(w), 0);
      }
    } catch (JsonProcessingException failure) {
      throw new IllegalStateException(failure);
    }
  }
}
