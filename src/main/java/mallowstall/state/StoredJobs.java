package mallowstall.state;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.util.List;
import mallowstall.core.Model.Final;
import mallowstall.core.Model.JobKind;
import mallowstall.core.Model.JobRec;
import mallowstall.core.Model.JobSpec;
import mallowstall.core.Model.Priority;
import mallowstall.json.JsonReader;
import mallowstall.json.JsonWriter;

/** The entries of jobs as JSON; see {@link StoredEntries}. */
final class StoredJobs {
  private StoredJobs() {}

  /** Writes the fields of the entry. */
  static void write(JsonGenerator out, JobRec job) throws IOException {
    out.writeFieldName("spec");
    out.writeStartObject();
    write(out, job.spec());
    out.writeEndObject();
    out.writeNumberField("submittedMs", job.submittedMs());
    out.writeStringField("holder", job.holder());
    out.writeNumberField("incarnation", job.incarnation());
    out.writeNumberField("epoch", job.epoch());
    out.writeBinaryField("done", job.done());
    out.writeNumberField("doneCount", job.doneCount());
    out.writeNumberField("grant", job.grant());
    out.writeStringField("fin", job.fin().name());
  }

  private static void write(JsonGenerator out, JobSpec spec) throws IOException {
    out.writeStringField("id", spec.id());
    out.writeStringField("jobClass", spec.jobClass());
    out.writeStringField("team", spec.team());
    out.writeStringField("priority", spec.priority().name());
    out.writeNumberField("tasks", spec.tasks());
    out.writeNumberField("cpus", spec.cpus());
    out.writeNumberField("gpus", spec.gpus());
    out.writeNumberField("memoryGb", spec.memoryGb());
    out.writeStringField("image", spec.image());
    out.writeNumberField("imageGb", spec.imageGb());
    JsonWriter.strings(out, "types", spec.types());
    out.writeStringField("zone", spec.zone());
    out.writeBooleanField("oneZone", spec.oneZone());
    out.writeBooleanField("spread", spec.spread());
    out.writeBooleanField("spot", spec.spot());
    out.writeNumberField("estimateS", spec.estimateS());
    out.writeNumberField("checkpointS", spec.checkpointS());
    out.writeNumberField("saveS", spec.saveS());
    JsonWriter.doubleOrNull(out, "deadlineS", spec.deadlineS());
    // only where it isn't the usual one: entries of batch jobs equal those of versions without
    // services, byte for byte
    if (spec.kind() != JobKind.BATCH) {
      out.writeStringField("kind", spec.kind().name());
    }
  }

  /** Reads the fields of an entry. */
  static JobRec read(JsonReader in) throws IOException {
    JobSpec spec = null;
    long submittedMs = 0;
    String holder = null;
    long incarnation = 0;
    long epoch = 0;
    byte[] done = null;
    int doneCount = 0;
    int grant = 0;
    Final fin = null;
    while (in.nextField()) {
      switch (in.field()) {
        case "spec" -> spec = in.enterObjectIfPresent() ? new SpecFields().read(in) : null;
        case "submittedMs" -> submittedMs = in.longOrZero();
        case "holder" -> holder = in.string();
        case "incarnation" -> incarnation = in.longOrZero();
        case "epoch" -> epoch = in.longOrZero();
        case "done" -> done = in.bytes();
        case "doneCount" -> doneCount = in.intOrZero();
        case "grant" -> grant = in.intOrZero();
        case "fin" -> fin = in.enumConstant(Final.class);
        default -> in.skip();
      }
    }
    return new JobRec(spec, submittedMs, holder, incarnation, epoch, done, doneCount, grant, fin);
  }

  /** A description as its fields come in. Mutable. */
  private static final class SpecFields {
    private String id;
    private String jobClass;
    private String team;
    private Priority priority;
    private int tasks;
    private double cpus;
    private double gpus;
    private double memoryGb;
    private String image;
    private double imageGb;
    private List<String> types;
    private String zone;
    private boolean oneZone;
    private boolean spread;
    private boolean spot;
    private double estimateS;
    private double checkpointS;
    private double saveS;
    private Double deadlineS;
    private JobKind kind;

    JobSpec read(JsonReader in) throws IOException {
      while (in.nextField()) {
        take(in);
      }
      return new JobSpec(
          id,
          jobClass,
          team,
          priority,
          tasks,
          cpus,
          gpus,
          memoryGb,
          image,
          imageGb,
          types,
          zone,
          oneZone,
          spread,
          spot,
          estimateS,
          checkpointS,
          saveS,
          deadlineS,
          kind);
    }

    private void take(JsonReader in) throws IOException {
      switch (in.field()) {
        case "id" -> id = in.string();
        case "jobClass" -> jobClass = in.string();
        case "team" -> team = in.string();
        case "priority" -> priority = in.enumConstant(Priority.class);
        case "tasks" -> tasks = in.intOrZero();
        case "cpus" -> cpus = in.doubleOrZero();
        case "gpus" -> gpus = in.doubleOrZero();
        case "memoryGb" -> memoryGb = in.doubleOrZero();
        case "image" -> image = in.string();
        case "imageGb" -> imageGb = in.doubleOrZero();
        case "types" -> types = in.strings();
        case "zone" -> zone = in.string();
        case "oneZone" -> oneZone = in.booleanOrFalse();
        case "spread" -> spread = in.booleanOrFalse();
        case "spot" -> spot = in.booleanOrFalse();
        case "estimateS" -> estimateS = in.doubleOrZero();
        case "checkpointS" -> checkpointS = in.doubleOrZero();
        case "saveS" -> saveS = in.doubleOrZero();
        case "deadlineS" -> deadlineS = in.doubleOrNull();
        case "kind" -> kind = in.enumConstant(JobKind.class);
        default -> in.skip();
      }
    }
  }
}
