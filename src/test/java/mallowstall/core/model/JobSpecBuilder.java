package mallowstall.core.model;

import java.util.List;

/**
 * Builds job specifications for tests. By default a job has one task of 2 cpus, normal priority,
 * the team {@code free} and an image of its own, and it may run on any machine.
 */
public final class JobSpecBuilder {
  /** The default job classes by priority, as literals that depend on no name in the program. */
  private static final List<String> CLASSES =
      List.of("c-LOW", "c-NORMAL", "c-HIGH", "c-PRODUCTION");

  private final String id;
  private final JobKind kind;
  private String jobClass;
  private String team = "free";
  private Priority priority = Priority.NORMAL;
  private int tasks = 1;
  private double cpus = 2;
  private double gpus = 0;
  private double memoryGb = 1;
  private String image;
  private double imageGb = 1;
  private List<String> machineTypes;
  private String zone;
  private boolean singleZone;
  private boolean spread;
  private boolean spot = true;
  private double estimatedRunS;
  private double checkpointIntervalS;
  private double checkpointSaveS;
  private Double deadlineS;

  private JobSpecBuilder(String id, JobKind kind) {
    this.id = id;
    this.kind = kind;
    image = id;
  }

  /** Returns a builder for a batch job with an estimated run time of 4 s and a deadline of 60 s. */
  public static JobSpecBuilder batchJob(String id) {
    return new JobSpecBuilder(id, JobKind.BATCH).estimatedRunS(4).deadlineS(60.0);
  }

  /** Returns a builder for a service, whose replicas run until the service is cancelled. */
  public static JobSpecBuilder service(String id) {
    return new JobSpecBuilder(id, JobKind.SERVICE);
  }

  /** Returns a builder that starts with the values of this job. */
  public static JobSpecBuilder copyOf(JobSpec spec) {
    return copyOf(spec, spec.kind());
  }

  /** Returns a builder that starts with the values of this job except its kind. */
  public static JobSpecBuilder copyOf(JobSpec spec, JobKind kind) {
    JobSpecBuilder copy = new JobSpecBuilder(spec.id(), kind);
    copy.jobClass = spec.jobClass();
    copy.team = spec.team();
    copy.priority = spec.priority();
    copy.tasks = spec.tasks();
    copy.cpus = spec.cpus();
    copy.gpus = spec.gpus();
    copy.memoryGb = spec.memoryGb();
    copy.image = spec.image();
    copy.imageGb = spec.imageGb();
    copy.machineTypes = spec.machineTypes();
    copy.zone = spec.zone();
    copy.singleZone = spec.singleZone();
    copy.spread = spec.spread();
    copy.spot = spec.spot();
    copy.estimatedRunS = spec.estimatedRunS();
    copy.checkpointIntervalS = spec.checkpointIntervalS();
    copy.checkpointSaveS = spec.checkpointSaveS();
    copy.deadlineS = spec.deadlineS();
    return copy;
  }

  /** Sets the job class; by default it depends on the priority. */
  public JobSpecBuilder jobClass(String value) {
    jobClass = value;
    return this;
  }

  /** Sets the team whose quota the job counts against. */
  public JobSpecBuilder team(String value) {
    team = value;
    return this;
  }

  /** Sets the priority; normal by default. */
  public JobSpecBuilder priority(Priority value) {
    priority = value;
    return this;
  }

  /** Sets the number of tasks, or of replicas of a service. */
  public JobSpecBuilder tasks(int value) {
    tasks = value;
    return this;
  }

  /** Sets the number of cpus of each task. */
  public JobSpecBuilder cpus(double value) {
    cpus = value;
    return this;
  }

  /** Sets the image of the tasks; by default it is named like the job. */
  public JobSpecBuilder image(String value) {
    image = value;
    return this;
  }

  /** Sets the size of the image in gigabytes. */
  public JobSpecBuilder imageGb(double value) {
    imageGb = value;
    return this;
  }

  /** Sets the allowed machine types; null allows all. */
  public JobSpecBuilder machineTypes(List<String> value) {
    machineTypes = value;
    return this;
  }

  /** Sets the required zone; null allows any. */
  public JobSpecBuilder zone(String value) {
    zone = value;
    return this;
  }

  /** Sets whether all tasks must run in one zone. */
  public JobSpecBuilder singleZone(boolean value) {
    singleZone = value;
    return this;
  }

  /** Sets whether at most half of the tasks may run in one zone. */
  public JobSpecBuilder spread(boolean value) {
    spread = value;
    return this;
  }

  /** Sets whether the job may run on spot machines. */
  public JobSpecBuilder spot(boolean value) {
    spot = value;
    return this;
  }

  /** Sets the user's estimate of the run time of a task in seconds. */
  public JobSpecBuilder estimatedRunS(double value) {
    estimatedRunS = value;
    return this;
  }

  /** Sets the deadline in seconds after submission; null if the job has none. */
  public JobSpecBuilder deadlineS(Double value) {
    deadlineS = value;
    return this;
  }

  /** Returns the job specification with the values set so far. */
  public JobSpec build() {
    return new JobSpec(
        id,
        jobClass == null ? CLASSES.get(priority.ordinal()) : jobClass,
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
}
