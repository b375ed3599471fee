package mallowstall.core.model;

/** One attempt of a task. */
public record TaskRef(String job, int task, long attempt) {}
