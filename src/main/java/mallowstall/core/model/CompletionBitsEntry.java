package mallowstall.core.model;

/**
 * A part of a large job's completion bitmap that its {@link JobEntry} doesn't hold (docs/design.md,
 * Keys in the state service).
 *
 * @param bits one bit per task, set once the task is done; bit 0 of byte 0 is the first task of the
 *     part
 */
public record CompletionBitsEntry(byte[] bits) implements StoredEntry {}
