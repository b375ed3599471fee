package mallowstall.core.model;

/** A value of the state service (docs/design.md, Keys in the state service). */
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
        IncarnationCounterEntry,
        RunStateExchangeEntry {}
