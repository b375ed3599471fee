package mallowstall.core.model;

import java.util.List;

/**
 * Builds descriptions of jobs for tests. Unless set otherwise a job has one task of 2 cpus, normal
 * priority, the team {@code free}, an image of its own, and may run on any machine.
 */
public final class JobSpecBuilder {
  /** The class of a job of each priority; spelt out, so as to depend on no name in the program. */
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

  /** A batch job that is estimated to run for 4 s and due after 60 s. */
  public static JobSpecBuilder batchJob(String id) {
    return new JobSpecBuilder(id, JobKind.BATCH).estimatedRunS(4).deadlineS(60.0);
  }

  /** A service: its tasks are replicas, which run until it is cancelled. */
  public static JobSpecBuilder service(String id) {
    return new JobSpecBuilder(id, JobKind.SERVICE);
  }

  /** The same job as this one in all that isn't set afterwards. */
  public static JobSpecBuilder copyOf(JobSpec spec) {
    return copyOf(spec, spec.kind());
  }

  /** The same job as this one, but of this kind. */
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

  /** Its class; by default one for each priority. */
  public JobSpecBuilder jobClass(String value) {
    jobClass = value;
    return this;
  }

  /** The team whose quota it counts against. */
  public JobSpecBuilder team(String value) {
    team = value;
    return this;
  }

  /** Its priority; normal unless set. */
  public JobSpecBuilder priority(Priority value) {
    priority = value;
    return this;
  }

  /** The number of its tasks, or of its replicas. */
  public JobSpecBuilder tasks(int value) {
    tasks = value;
    return this;
  }

  /** What each of its tasks takes. */
  public JobSpecBuilder cpus(double value) {
    cpus = value;
    return this;
  }

  /** The image of its tasks; by default one of its own. */
  public JobSpecBuilder image(String value) {
    image = value;
    return this;
  }

  /** The only machine types that it may run on; null: any. */
  public JobSpecBuilder machineTypes(List<String> value) {
    machineTypes = value;
    return this;
  }

  /** The only zone that it may run in; null: any. */
  public JobSpecBuilder zone(String value) {
    zone = value;
    return this;
  }

  /** Whether all its tasks must run in one zone. */
  public JobSpecBuilder singleZone(boolean value) {
    singleZone = value;
    return this;
  }

  /** Whether at most half of its tasks may run in one zone. */
  public JobSpecBuilder spread(boolean value) {
    spread = value;
    return this;
  }

  /** Whether it may run on spot machines. */
  public JobSpecBuilder spot(boolean value) {
    spot = value;
    return this;
  }

  /** How long a task runs, as its user estimates, in seconds. */
  public JobSpecBuilder estimatedRunS(double value) {
    estimatedRunS = value;
    return this;
  }

  /** Its deadline in seconds; null: none. */
  public JobSpecBuilder deadlineS(Double value) {
    deadlineS = value;
    return this;
  }

  /** The description as set so far. */
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
