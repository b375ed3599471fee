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
 * The state replica: a local copy of all keys of the state service. Changes arrive in any order,
 * from the watch, from listings and from this controller's own requests. For each key, the change
 * with the highest revision applies.
 */
final class StateReplica {
  /**
   * Maximum number of tombstones, which bounds their memory. All are dropped when it is exceeded.
   */
  private static final int TOMBSTONES_MAX = 20_000;

  private final String ownSessionKey;
  private final Consumer<SessionEntry> ownSessionChanged;

  /** The receiver of changes, set once before the first event. */
  private StateChangeListener listener;

  private final TreeMap<String, StoredValue> entries = new TreeMap<>();

  /**
   * Jobs by id. Jobs and machines are looked up for every task on every machine, and building the
   * key and searching the ordered map took a quarter of all processor time.
   */
  private final Object2ObjectOpenHashMap<String, JobEntry> jobs = new Object2ObjectOpenHashMap<>();

  /** Machines by id, for the lookups described at {@link #jobs}. */
  private final Object2ObjectOpenHashMap<String, MachineEntry> machines =
      new Object2ObjectOpenHashMap<>();

  /** Revisions of deletions, by key, so that an older event or listing can't restore a key. */
  private final Object2ObjectOpenHashMap<String, Long> tombstones =
      new Object2ObjectOpenHashMap<>();

  /**
   * Revisions of machines' own entries, by key. For a machine, {@link #entries} holds the newest
   * among its own entry and the entries of the groups that contain it.
   */
  private final Object2ObjectOpenHashMap<String, Long> machineEntryRevisions =
      new Object2ObjectOpenHashMap<>();

  /**
   * Creates an empty replica. {@code ownSessionChanged} receives each change of the key {@code
   * ownSessionKey} before the listener does, or null if the key was deleted.
   */
  StateReplica(String ownSessionKey, Consumer<SessionEntry> ownSessionChanged) {
    this.ownSessionKey = ownSessionKey;
    this.ownSessionChanged = ownSessionChanged;
  }

  /** Sets the receiver of changes. This method is called once, before the first event. */
  void subscribe(StateChangeListener subscriber) {
    listener = subscriber;
  }

  /** Returns the value of a key, or null if the key doesn't exist. */
  StoredValue entry(String key) {
    return entries.get(key);
  }

  /** Returns a live view of all keys with this prefix, in key order. */
  SortedMap<String, StoredValue> entriesUnder(String prefix) {
    return entries.subMap(prefix, prefix + Character.MAX_VALUE);
  }

  /** Returns the entry of a job, or null if the replica has none. */
  JobEntry job(String id) {
    return jobs.get(id);
  }

  /** Returns the entry of a machine, or null if it has none or was returned to the cloud. */
  MachineEntry machine(String id) {
    return machines.get(id);
  }

  /**
   * Returns the revision to use in the condition of a write of the key, or 0 if the key doesn't
   * exist.
   */
  long modRevision(String key) {
    if (key.startsWith(StateKeys.MACHINE_PREFIX)) {
      return machineEntryRevisions.getOrDefault(key, 0L);
    }
    StoredValue stored = entries.get(key);
    return stored == null ? 0 : stored.modRevision();
  }

  /**
   * Returns whether a group contains the machine. If so, deleting the machine's own entry doesn't
   * remove the machine.
   */
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

  /** Returns the keys of groups in which every machine has a newer entry or no entry any more. */
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

  /**
   * Applies one change, which may be older than the value in the replica. A null value deletes the
   * key.
   */
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

  /**
   * Deletes all keys that a listing at this revision doesn't contain, unless they changed later.
   */
  void deleteUnlisted(Set<String> listedKeys, long listRevision) {
    for (String key : new ArrayList<>(entries.keySet())) {
      if (!listedKeys.contains(key) && entries.get(key).modRevision() <= listRevision) {
        apply(new KeyValue(key, null, listRevision));
      }
    }
  }

  /** Notifies the listener that a watch has returned without missing a change. */
  void notifyAdvanced() {
    listener.replicaAdvanced();
  }

  /** Notifies the listener that all keys have been listed, completely up to this revision. */
  void notifySynced(long revision) {
    listener.replicaSynced(revision);
  }
}
