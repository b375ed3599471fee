package mallowstall.core.model;

import java.util.Arrays;

/**
 * A part of the completion bitmap of a large job that the job's {@link JobEntry} doesn't hold
 * (docs/design.md, Keys in the state service).
 *
 * @param bits one bit per task, set once the task is done; bit 0 of byte 0 belongs to the first
 *     task of the part
 */
public record CompletionBitsEntry(byte[] bits) implements StoredEntry {
  @Override
  public boolean equals(Object other) {
    return other instanceof CompletionBitsEntry that && Arrays.equals(bits, that.bits);
  }

  @Override
  public int hashCode() {
    return Arrays.hashCode(bits);
  }
}
