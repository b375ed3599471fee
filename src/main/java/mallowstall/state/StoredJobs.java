package mallowstall.state;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.util.List;
import mallowstall.core.model.JobEntry;
import mallowstall.core.model.JobKind;
import mallowstall.core.model.JobOutcome;
import mallowstall.core.model.JobSpec;
import mallowstall.core.model.Priority;
import mallowstall.json.JsonReader;
import mallowstall.json.JsonWriter;

/** Encodes and decodes the entries of jobs as JSON; see {@link StoredEntries}. */
final class StoredJobs {
  private StoredJobs() {}

  /** Writes the fields of the entry into an open JSON object. */
  static void write(JsonGenerator out, JobEntry job) throws IOException {
    out.writeFieldName(StoredFields.SPEC);
    out.writeStartObject();
    write(out, job.spec());
    out.writeEndObject();
    out.writeNumberField(StoredFields.SUBMITTED_MS, job.submittedMs());
    out.writeStringField(StoredFields.LEADER, job.leader());
    out.writeNumberField(StoredFields.INCARNATION, job.incarnation());
    out.writeNumberField(StoredFields.EPOCH, job.epoch());
    out.writeBinaryField(StoredFields.COMPLETED_BITS, job.completionBits());
    out.writeNumberField(StoredFields.COMPLETED_COUNT, job.completedTaskCount());
    out.writeNumberField(StoredFields.QUOTA_RESERVATION, job.quotaReservedTasks());
    out.writeStringField(StoredFields.OUTCOME, job.outcome().name());
  }

  private static void write(JsonGenerator out, JobSpec spec) throws IOException {
    out.writeStringField(StoredFields.ID, spec.id());
    out.writeStringField(StoredFields.JOB_CLASS, spec.jobClass());
    out.writeStringField(StoredFields.TEAM, spec.team());
    out.writeStringField(StoredFields.PRIORITY, spec.priority().name());
    out.writeNumberField(StoredFields.TASKS, spec.tasks());
    out.writeNumberField(StoredFields.CPUS, spec.cpus());
    out.writeNumberField(StoredFields.GPUS, spec.gpus());
    out.writeNumberField(StoredFields.MEMORY_GB, spec.memoryGb());
    out.writeStringField(StoredFields.IMAGE, spec.image());
    out.writeNumberField(StoredFields.IMAGE_GB, spec.imageGb());
    JsonWriter.strings(out, StoredFields.TYPES, spec.machineTypes());
    out.writeStringField(StoredFields.ZONE, spec.zone());
    out.writeBooleanField(StoredFields.ONE_ZONE, spec.singleZone());
    out.writeBooleanField(StoredFields.SPREAD, spec.spread());
    out.writeBooleanField(StoredFields.SPOT, spec.spot());
    out.writeNumberField(StoredFields.ESTIMATE_S, spec.estimatedRunS());
    out.writeNumberField(StoredFields.CHECKPOINT_S, spec.checkpointIntervalS());
    out.writeNumberField(StoredFields.SAVE_S, spec.checkpointSaveS());
    JsonWriter.doubleOrNull(out, StoredFields.DEADLINE_S, spec.deadlineS());
    // The kind of a batch job is omitted, so that its entry equals, byte for byte, the entry that
    // a version without services writes.
    if (spec.kind() != JobKind.BATCH) {
      out.writeStringField(StoredFields.KIND, spec.kind().name());
    }
  }

  /** Reads the fields of an entry up to the end of its JSON object. */
  static JobEntry read(JsonReader in) throws IOException {
    JobSpec spec = null;
    long submittedMs = 0;
    String leader = null;
    long incarnation = 0;
    long epoch = 0;
    byte[] completionBits = null;
    int completedTaskCount = 0;
    int quotaReservedTasks = 0;
    JobOutcome outcome = null;
    while (in.nextField()) {
      switch (in.field()) {
        case StoredFields.SPEC ->
            spec = in.enterObjectIfPresent() ? new SpecFields().read(in) : null;
        case StoredFields.SUBMITTED_MS -> submittedMs = in.longOrZero();
        case StoredFields.LEADER -> leader = in.string();
        case StoredFields.INCARNATION -> incarnation = in.longOrZero();
        case StoredFields.EPOCH -> epoch = in.longOrZero();
        case StoredFields.COMPLETED_BITS -> completionBits = in.bytes();
        case StoredFields.COMPLETED_COUNT -> completedTaskCount = in.intOrZero();
        case StoredFields.QUOTA_RESERVATION -> quotaReservedTasks = in.intOrZero();
        case StoredFields.OUTCOME -> outcome = in.enumConstant(JobOutcome.class);
        default -> in.skip();
      }
    }
    return new JobEntry(
        spec,
        submittedMs,
        leader,
        incarnation,
        epoch,
        completionBits,
        completedTaskCount,
        quotaReservedTasks,
        outcome);
  }

  /** Collects the fields of a job specification while they are read. Mutable. */
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
    private List<String> machineTypes;
    private String zone;
    private boolean singleZone;
    private boolean spread;
    private boolean spot;
    private double estimatedRunS;
    private double checkpointIntervalS;
    private double checkpointSaveS;
    private Double deadlineS;
    private JobKind kind;

    JobSpec read(JsonReader in) throws IOException {
      while (in.nextField()) {
        readField(in);
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
          machineTypes,
          zone,
          singleZone,
          spread,
          spot,
          estimatedRunS,
          checkpointIntervalS,
          checkpointSaveS,
          deadlineS,
          kind);
    }

    private void readField(JsonReader in) throws IOException {
      switch (in.field()) {
        case StoredFields.ID -> id = in.string();
        case StoredFields.JOB_CLASS -> jobClass = in.string();
        case StoredFields.TEAM -> team = in.string();
        case StoredFields.PRIORITY -> priority = in.enumConstant(Priority.class);
        case StoredFields.TASKS -> tasks = in.intOrZero();
        case StoredFields.CPUS -> cpus = in.doubleOrZero();
        case StoredFields.GPUS -> gpus = in.doubleOrZero();
        case StoredFields.MEMORY_GB -> memoryGb = in.doubleOrZero();
        case StoredFields.IMAGE -> image = in.string();
        case StoredFields.IMAGE_GB -> imageGb = in.doubleOrZero();
        case StoredFields.TYPES -> machineTypes = in.strings();
        case StoredFields.ZONE -> zone = in.string();
        case StoredFields.ONE_ZONE -> singleZone = in.booleanOrFalse();
        case StoredFields.SPREAD -> spread = in.booleanOrFalse();
        case StoredFields.SPOT -> spot = in.booleanOrFalse();
        case StoredFields.ESTIMATE_S -> estimatedRunS = in.doubleOrZero();
        case StoredFields.CHECKPOINT_S -> checkpointIntervalS = in.doubleOrZero();
        case StoredFields.SAVE_S -> checkpointSaveS = in.doubleOrZero();
        case StoredFields.DEADLINE_S -> deadlineS = in.doubleOrNull();
        case StoredFields.KIND -> kind = in.enumConstant(JobKind.class);
        default -> in.skip();
      }
    }
  }
}
