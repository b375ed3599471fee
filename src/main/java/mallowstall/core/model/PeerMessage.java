package mallowstall.core.model;

/** Messages between controllers. */
public sealed interface PeerMessage permits StatusUpdate, StartBatch, StopBatch {}
