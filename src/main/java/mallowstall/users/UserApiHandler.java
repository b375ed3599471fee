package mallowstall.users;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonProcessingException;
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
import mallowstall.json.JsonReader;
import mallowstall.json.JsonWriter;
import mallowstall.json.WrongTypeException;
import mallowstall.net.HttpServer.Request;
import mallowstall.net.HttpServer.Responder;

/** Submissions, questions and cancellations of users. */
public final class UserApiHandler {
  /** A submission as its fields come in; those that are missing are null. Mutable. */
  private static final class Submission {
    private String id;
    private String jobClass;
    private String team;
    private String kind;
    private String priority;
    private Integer tasks;
    private Double cpus;
    private Double gpus;
    private Double memoryGb;
    private String image;
    private Double imageGb;
    private List<String> types;
    private String zone;
    private Boolean oneZone;
    private Boolean spread;
    private Boolean spot;
    private Double estimateS;
    private Double checkpointS;
    private Double saveS;
    private Double deadlineS;

    /** Reads a submission; null: the body is null. */
    static Submission read(JsonReader in) throws IOException {
      if (!in.enterObjectIfPresent()) {
        return null;
      }
      Submission submission = new Submission();
      while (in.nextField()) {
        submission.take(in);
      }
      return submission;
    }

    private void take(JsonReader in) throws IOException {
      switch (in.field()) {
        case "ref" -> id = in.string();
        case "lote" -> jobClass = in.string();
        case "cuadrilla" -> team = in.string();
        case "oficio" -> kind = in.string();
        case "urgencia" -> priority = in.string();
        case "piezas" -> tasks = in.intOrNull();
        case "vcpus" -> cpus = in.doubleOrNull();
        case "gpus" -> gpus = in.doubleOrNull();
        case "mem_gb" -> memoryGb = in.doubleOrNull();
        case "molde" -> image = in.string();
        case "image_gb" -> imageGb = in.doubleOrNull();
        case "calibres" -> types = in.strings();
        case "patio" -> zone = in.string();
        case "one_zone" -> oneZone = in.booleanOrNull();
        case "scatter" -> spread = in.booleanOrNull();
        case "prestados" -> spot = in.booleanOrNull();
        case "aserrado_s" -> estimateS = in.doubleOrNull();
        case "marca_s" -> checkpointS = in.doubleOrNull();
        case "apilado_s" -> saveS = in.doubleOrNull();
        case "despacho_s" -> deadlineS = in.doubleOrNull();
        default -> in.skip();
      }
    }
  }

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

  private final Core core;

  /** Turns users' requests into events of the core. */
  public UserApiHandler(Core core) {
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
    Submission job;
    try {
      job = JsonReader.read(body, Submission::read);
    } catch (WrongTypeException wrong) {
      String field = wrong.path().isEmpty() ? "the body" : wrong.outermostField();
      throw new Malformed(field + " has the wrong type or is out of range");
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

  private static JobSpec spec(Submission job) throws Malformed {
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
  private static void checkTasks(Submission job) throws Malformed {
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
  private static void checkPlaces(Submission job) throws Malformed {
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

  private static void error(Responder responder, int status, String message) {
    responder.answer(status, error(message), 0);
  }

  /** Why a request is refused. */
  private static byte[] error(String message) {
    return JsonWriter.object(out -> out.writeStringField("error", message));
  }

  private static void answer(UserAnswer answer, Responder responder, boolean brief) {
    if (answer.state() == null) {
      responder.answer(answer.status(), error(answer.message()), answer.retryAfterS());
    } else {
      responder.answer(
          answer.status(), JsonWriter.object(out -> writeState(out, answer, brief)), 0);
    }
  }

  /** A job's state as it is told. */
  private static void writeState(JsonGenerator out, UserAnswer answer, boolean brief)
      throws IOException {
    out.writeStringField("ref", answer.id());
    out.writeStringField("estado", answer.state());
    if (!brief) {
      out.writeNumberField("done", answer.done());
      out.writeNumberField("running", answer.running());
    }
  }
}
