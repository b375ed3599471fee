package mallowstall.core.kv;

import mallowstall.core.model.MachineEntry;
import mallowstall.core.model.StoredEntry;

/** Receives the changes of the replica, on the thread and within the event that brought them. */
public interface StateChangeListener {
  /**
   * A machine had this entry for a while, before the newer one that the replica holds already.
   *
   * @param machine the machine's id
   */
  void machineEntrySuperseded(String machine, MachineEntry entry);

  /**
   * The machine's entry was deleted, which only follows its return to the cloud. The replica may
   * hold a later entry, or may never have held one.
   *
   * @param machine the machine's id
   */
  void machineReturned(String machine);

  /** A key changed; {@code before} is null if it is new, {@code after} if it was deleted. */
  void entryChanged(String key, StoredEntry before, StoredEntry after);

  /** The watch was answered: the replica is known to be fresh up to a later time. */
  void advanced();

  /** The replica is complete after a listing, at this revision. */
  void replicaSynced(long revision);
}
