package mallowstall.core.model;

/**
 * Names the controller that leads a machine. The fencing token is the revision at which the entry
 * was written, so the token of a later leader is larger. The token is not part of the stored value;
 * only the state replica holds it.
 *
 * @param node the leading controller, or empty if the machine was removed (tombstone)
 * @param incarnation incarnation of the leader
 * @param fencingToken revision of the change that wrote the entry, or 0 while it is unknown
 * @param type name of the machine type
 * @param zone zone of the machine
 * @param spot whether the cloud may interrupt the machine
 */
public record MachineEntry(
    String node, long incarnation, long fencingToken, String type, String zone, boolean spot)
    implements StoredEntry {
  /** Returns this entry with the revision of its change as the fencing token. */
  public MachineEntry withFencingToken(long newFencingToken) {
    return new MachineEntry(node, incarnation, newFencingToken, type, zone, spot);
  }

  /** Returns the entry of a removed machine that a group entry still names. */
  public static MachineEntry tombstone() {
    return new MachineEntry("", 0, 0, "", "", false);
  }
}
