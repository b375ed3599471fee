package mallowstall.core.model;

/** Further bits of a large job's bitmap: a chunk or a piece. */
public record CompletionBitsEntry(byte[] bits) implements StoredEntry {}
