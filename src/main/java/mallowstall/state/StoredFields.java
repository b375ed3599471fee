package mallowstall.state;

/**
 * Field names of the entries of the state service. They are stored and other versions of this
 * program read them, so they never change, even if a field of an entry type is renamed.
 */
final class StoredFields {
  private StoredFields() {}

  // controller processes
  static final String NODE = "node";
  static final String INCARNATION = "incarnation";
  static final String VERSION = "version";

  // machines and their groups
  static final String MACHINES = "machines";
  static final String ID = "id";
  static final String TYPE = "type";
  static final String ZONE = "zone";
  static final String SPOT = "spot";
  static final String TOKEN = "token";

  // capacity, quota and digests
  static final String FREE_CAPACITY = "rooms";
  static final String MACHINE = "machine";
  static final String CPUS = "cpus";
  static final String GPUS = "gpus";
  static final String MEMORY_GB = "memoryGb";
  static final String PENDING_CPUS = "pendingCpus";

  // jobs
  static final String SPEC = "spec";
  static final String SUBMITTED_MS = "submittedMs";
  static final String LEADER = "holder";
  static final String EPOCH = "epoch";
  static final String COMPLETED_BITS = "done";
  static final String COMPLETED_COUNT = "doneCount";
  static final String QUOTA_RESERVATION = "grant";
  static final String OUTCOME = "fin";

  // job specifications
  static final String JOB_CLASS = "jobClass";
  static final String TEAM = "team";
  static final String PRIORITY = "priority";
  static final String TASKS = "tasks";
  static final String IMAGE = "image";
  static final String IMAGE_GB = "imageGb";
  static final String TYPES = "types";
  static final String ONE_ZONE = "oneZone";
  static final String SPREAD = "spread";
  static final String ESTIMATE_S = "estimateS";
  static final String CHECKPOINT_S = "checkpointS";
  static final String SAVE_S = "saveS";
  static final String DEADLINE_S = "deadlineS";
  static final String KIND = "kind";

  // exchanges about running tasks
  static final String QUERIES = "queries";
  static final String REPLIES = "replies";
  static final String SERIAL = "serial";
  static final String ASKER = "asker";
  static final String JOBS = "jobs";
  static final String MAX_AGE_MS = "maxAgeMs";
  static final String RUN_STATE = "state";
  static final String RUNNING_TASKS = "running";
  static final String SINCE_AGE_MS = "sinceAgeMs";
  static final String AGE_MS = "ageMs";

  // counter of incarnations
  static final String COUNTER = "value";
}
