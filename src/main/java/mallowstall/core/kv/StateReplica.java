package mallowstall.core.kv;

import it.unimi.dsi.fastutil.objects.Object2ObjectOpenHashMap;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Consumer;
import mallowstall.core.kernel.KeyValue;
import mallowstall.core.model.JobEntry;
import mallowstall.core.model.MachineEntry;
import mallowstall.core.model.MachineGroupEntry;
import mallowstall.core.model.MachineGroupMember;
import mallowstall.core.model.SessionEntry;
import mallowstall.core.model.StoredEntry;

/**
 * Local copy of all keys of the state service. Changes may come in any order, from the watch, from
 * listings and from this controller's own requests; the one of the highest revision wins.
 */
final class StateReplica {
  /** Bounds the memory that tombstones take. */
  private static final int TOMBSTONES_MAX = 20_000;

  private final String ownSessionKey;
  private final Consumer<SessionEntry> ownSessionChanged;

  /** Set once, before the first event. */
  private StateChangeListener listener;

  private final TreeMap<String, StoredValue> entries = new TreeMap<>();

  /**
   * Jobs and machines by id. Looked up for every task on every machine: building the key and
   * searching the ordered map took a quarter of all processor time.
   */
  private final Object2ObjectOpenHashMap<String, JobEntry> jobs = new Object2ObjectOpenHashMap<>();

  private final Object2ObjectOpenHashMap<String, MachineEntry> machines =
      new Object2ObjectOpenHashMap<>();

  /** Revisions of deletions, so that an older event or listing can't bring a key back. */
  private final Object2ObjectOpenHashMap<String, Long> tombstones =
      new Object2ObjectOpenHashMap<>();

  /**
   * Revisions of machines' own entries, by key. {@link #entries} holds for a machine the newest of
   * its own entry and of the groups that name it.
   */
  private final Object2ObjectOpenHashMap<String, Long> machineEntryRevisions =
      new Object2ObjectOpenHashMap<>();

  /** {@code ownSessionChanged} receives each change of that key, null if deleted, first of all. */
  StateReplica(String ownSessionKey, Consumer<SessionEntry> ownSessionChanged) {
    this.ownSessionKey = ownSessionKey;
    this.ownSessionChanged = ownSessionChanged;
  }

  /** Sets the receiver of changes; called once, before the first event. */
  void subscribe(StateChangeListener subscriber) {
    listener = subscriber;
  }

  /** The value of a key; null if it doesn't exist. */
  StoredValue entry(String key) {
    return entries.get(key);
  }

  /** All keys with this prefix, in their order; a live view. */
  SortedMap<String, StoredValue> entriesUnder(String prefix) {
    return entries.subMap(prefix, prefix + Character.MAX_VALUE);
  }

  /** The entry of a job; null if none is known. */
  JobEntry job(String id) {
    return jobs.get(id);
  }

  /** The entry of a machine; null if it has none, or was returned. */
  MachineEntry machine(String id) {
    return machines.get(id);
  }

  /** The revision with which a write of the key is compared; 0: the key doesn't exist. */
  long modRevision(String key) {
    if (key.startsWith(StateKeys.MACHINE_PREFIX)) {
      return machineEntryRevisions.getOrDefault(key, 0L);
    }
    StoredValue stored = entries.get(key);
    return stored == null ? 0 : stored.modRevision();
  }

  /** Whether a group names the machine: then deleting its own entry wouldn't remove it. */
  boolean isInMachineGroup(String id) {
    for (StoredValue stored : entriesUnder(StateKeys.MACHINE_GROUP_PREFIX).values()) {
      for (MachineGroupMember member : ((MachineGroupEntry) stored.value()).machines()) {
        if (member.id().equals(id)) {
          return true;
        }
      }
    }
    return false;
  }

  /** Keys of groups of which every machine has a newer entry, or none any more. */
  List<String> obsoleteGroups() {
    List<String> obsolete = new ArrayList<>();
    entriesUnder(StateKeys.MACHINE_GROUP_PREFIX)
        .forEach(
            (key, stored) -> {
              if (isObsolete(stored)) {
                obsolete.add(key);
              }
            });
    return obsolete;
  }

  private boolean isObsolete(StoredValue storedGroup) {
    for (MachineGroupMember member : ((MachineGroupEntry) storedGroup.value()).machines()) {
      StoredValue current = entries.get(StateKeys.machine(member.id()));
      if (current != null && current.modRevision() <= storedGroup.modRevision()) {
        return false;
      }
    }
    return true;
  }

  /** Applies one change, which may be older than what is known; a null value deletes the key. */
  void apply(KeyValue change) {
    if (change.value() instanceof MachineGroupEntry group) {
      applyGroupMembers(group, change.modRevision());
    } else if (change.key().startsWith(StateKeys.MACHINE_PREFIX)) {
      applyMachineEntry(change);
      return;
    }
    put(change.key(), change.value(), change.modRevision());
  }

  private void applyGroupMembers(MachineGroupEntry group, long modRevision) {
    for (MachineGroupMember member : group.machines()) {
      MachineEntry entry =
          new MachineEntry(
              group.node(),
              group.incarnation(),
              modRevision,
              member.type(),
              member.zone(),
              member.spot());
      put(StateKeys.machine(member.id()), entry, modRevision);
    }
  }

  private void applyMachineEntry(KeyValue change) {
    long knownRevision = machineEntryRevisions.getOrDefault(change.key(), 0L);
    if (change.modRevision() <= knownRevision) {
      return;
    }
    if (change.value() == null) {
      machineEntryRevisions.remove(change.key());
    } else {
      machineEntryRevisions.put(change.key(), (Long) change.modRevision());
    }
    MachineEntry entry = (MachineEntry) change.value();
    boolean removed = entry == null || entry.node().isEmpty();
    put(
        change.key(),
        removed ? null : entry.withFencingToken(change.modRevision()),
        change.modRevision());
  }

  private void put(String key, StoredEntry value, long modRevision) {
    if (value == null && key.startsWith(StateKeys.MACHINE_PREFIX)) {
      listener.machineReturned(StateKeys.machineOf(key));
    }
    StoredValue previous = entries.get(key);
    if (previous != null && previous.modRevision() >= modRevision) {
      if (previous.modRevision() > modRevision && value instanceof MachineEntry superseded) {
        listener.machineEntrySuperseded(StateKeys.machineOf(key), superseded);
      }
      return;
    }
    Long deletedRevision = tombstones.get(key);
    if (deletedRevision != null && deletedRevision >= modRevision) {
      return;
    }
    if (value == null) {
      delete(key, previous, modRevision);
      return;
    }
    entries.put(key, new StoredValue(value, modRevision));
    if (value instanceof JobEntry job) {
      jobs.put(key.substring(StateKeys.JOB_PREFIX.length()), job);
    } else if (value instanceof MachineEntry machine) {
      machines.put(StateKeys.machineOf(key), machine);
    }
    notifyChange(key, previous == null ? null : previous.value(), value);
  }

  private void delete(String key, StoredValue previous, long modRevision) {
    tombstones.put(key, (Long) modRevision);
    if (tombstones.size() > TOMBSTONES_MAX) {
      tombstones.clear();
    }
    if (previous == null) {
      return;
    }
    entries.remove(key);
    if (key.startsWith(StateKeys.JOB_PREFIX)) {
      jobs.remove(key.substring(StateKeys.JOB_PREFIX.length()));
    } else if (key.startsWith(StateKeys.MACHINE_PREFIX)) {
      machines.remove(StateKeys.machineOf(key));
    }
    notifyChange(key, previous.value(), null);
  }

  private void notifyChange(String key, StoredEntry before, StoredEntry after) {
    if (key.equals(ownSessionKey)) {
      ownSessionChanged.accept((SessionEntry) after);
    }
    listener.entryChanged(key, before, after);
  }

  /** Deletes all keys but these, as of a listing that was read at this revision. */
  void deleteUnlisted(Set<String> listedKeys, long listRevision) {
    for (String key : new ArrayList<>(entries.keySet())) {
      if (!listedKeys.contains(key) && entries.get(key).modRevision() <= listRevision) {
        apply(new KeyValue(key, null, listRevision));
      }
    }
  }

  /** The watch was answered without a gap. */
  void notifyAdvanced() {
    listener.advanced();
  }

  /** A listing is complete, at this revision. */
  void notifySynced(long revision) {
    listener.replicaSynced(revision);
  }
}
