package mallowstall.core.kv;

import mallowstall.core.model.MachineEntry;
import mallowstall.core.model.StoredEntry;

/**
 * Receives the changes of the state replica. The methods are called on the event loop, within the
 * event that applied the change.
 */
public interface StateChangeListener {
  /**
   * Called when the replica receives an entry that a machine had before the newer entry that the
   * replica already holds.
   *
   * @param machine the machine's id
   */
  void machineEntrySuperseded(String machine, MachineEntry entry);

  /**
   * Called when a machine's entry has been deleted, which happens only after the machine's return
   * to the cloud. The replica may hold a later entry of the machine, or may never have held one.
   *
   * @param machine the machine's id
   */
  void machineReturned(String machine);

  /**
   * Called when a key has changed. {@code before} is null if the key is new, and {@code after} is
   * null if the key was deleted.
   */
  void entryChanged(String key, StoredEntry before, StoredEntry after);

  /** Called when a watch has returned, so that the replica is up to date as of a later time. */
  void replicaAdvanced();

  /** Called when all keys have been listed. The listing is complete up to this revision. */
  void replicaSynced(long revision);
}
