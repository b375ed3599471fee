package mallowstall.core.model;

/** A holder's wish that a task be stopped. */
public record StopRequest(
    String machine, String job, int task, long attempt, double gracePeriodS) {}
