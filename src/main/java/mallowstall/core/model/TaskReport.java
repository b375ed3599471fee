package mallowstall.core.model;

/** A task as its worker reports it. */
public record TaskReport(
    String job,
    int task,
    long attempt,
    TaskState state,
    ExitReason exitReason,
    boolean checkpointed) {}
