package mallowstall.core.model;

/** What a worker is told to do with a task. */
public enum CommandKind {
  START,
  STOP,
  REMOVE
}
