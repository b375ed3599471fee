package mallowstall.core.model;

import java.util.List;

/** {@code instead}: lower tasks on that machine that are stopped to make room for this one. */
public record StartRequest(
    String machine,
    String job,
    int task,
    long attempt,
    long leaderEpoch,
    long expiryWallMs,
    List<TaskAttempt> victims) {}
