package mallowstall.users;

/**
 * Field names and values of the HTTP interface for users. Each constant is named by the standard
 * term for its value. The values are sent over the network and never change.
 */
final class UserProtocol {
  private UserProtocol() {}

  // fields of a submission
  static final String JOB = "ref";
  static final String JOB_CLASS = "lote";
  static final String TEAM = "cuadrilla";
  static final String KIND = "oficio";
  static final String PRIORITY = "urgencia";
  static final String TASKS = "piezas";
  static final String CPUS = "vcpus";
  static final String GPUS = "gpus";
  static final String MEMORY_GB = "mem_gb";
  static final String IMAGE = "molde";
  static final String IMAGE_GB = "image_gb";
  static final String MACHINE_TYPES = "calibres";
  static final String ZONE = "patio";
  static final String ONE_ZONE = "one_zone";
  static final String SPREAD = "scatter";
  static final String SPOT = "prestados";
  static final String ESTIMATE_S = "aserrado_s";
  static final String CHECKPOINT_S = "marca_s";
  static final String SAVE_S = "apilado_s";
  static final String DEADLINE_S = "despacho_s";

  // priorities
  static final String PRIORITY_PRODUCTION = "prod";
  static final String PRIORITY_HIGH = "high";
  static final String PRIORITY_NORMAL = "standard";
  static final String PRIORITY_LOW = "best_effort";

  // job kinds
  static final String KIND_BATCH = "batch";
  static final String KIND_SERVICE = "daemon";

  // fields of responses
  static final String STATE = "estado";
  static final String DONE = "done";
  static final String RUNNING = "running";
  static final String ERROR = "error";
}
