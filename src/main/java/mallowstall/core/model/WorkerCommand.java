package mallowstall.core.model;

/** A command to a worker. */
public record WorkerCommand(
    CommandKind kind, String job, int task, long attempt, double gracePeriodS) {}
