package mallowstall.core.model;

/** Anything kept under a key of the state service. */
public sealed interface StoredEntry
    permits SessionEntry,
        VersionEntry,
        JobEntry,
        CompletionBitsEntry,
        MachineEntry,
        MachineGroupEntry,
        TeamUsageEntry,
        DigestEntry,
        AutoscalerLeaderEntry,
        IncarnationCounterEntry {}
