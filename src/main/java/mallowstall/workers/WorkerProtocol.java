package mallowstall.workers;

/**
 * Paths, field names and values of the protocol between workers and controllers. Each constant is
 * named by the standard term for its value. The values are sent over the network and never change.
 */
final class WorkerProtocol {
  private WorkerProtocol() {}

  // request paths
  static final String COMMANDS_PATH = "/orders";

  // fields of a heartbeat
  static final String MACHINE = "sierra";
  static final String ADDRESS = "addr";
  static final String MACHINE_TYPE = "calibre";
  static final String ZONE = "patio";
  static final String SPOT = "prestados";
  static final String SESSION = "turno";
  static final String SEQUENCE = "folio";
  static final String FENCING_TOKEN = "baston";
  static final String INTERRUPTION_NOTICE_S = "aviso_s";
  static final String TASKS = "piezas";

  // fields of a task in a heartbeat or a command
  static final String TASK = "pieza";
  static final String ATTEMPT = "intento";
  static final String STATE = "estado";
  static final String EXIT_REASON = "motivo";
  static final String CHECKPOINTED = "saved";

  // task states; any other value means that the worker is fetching the task's image
  static final String STATE_RUNNING = "running";
  static final String STATE_CHECKPOINTING = "flushing";
  static final String STATE_EXITED = "ended";

  // exit reasons; any other value means an error
  static final String EXIT_DONE = "done";
  static final String EXIT_STOPPED = "stopped";
  static final String EXIT_INSUFFICIENT_CAPACITY = "full";
  static final String EXIT_BUSY = "busy";
  static final String EXIT_TASK_NOT_FOUND = "no_such";

  // fields and values of heartbeat responses and commands
  static final String COMMANDS = "ordenes";
  static final String COMMAND = "orden";
  static final String GRACE_PERIOD_S = "respiro_s";
  static final String COMMAND_START = "run";
  static final String COMMAND_STOP = "kill";
  static final String COMMAND_REMOVE = "reap";
  static final String REDIRECT_TO = "capataz";
}
