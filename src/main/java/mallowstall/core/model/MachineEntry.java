package mallowstall.core.model;

/**
 * Which controller leads a machine. The fencing token is the revision at which the entry was
 * written, so a later leader's is larger; it isn't stored and stands in the state replica only.
 *
 * @param node the leading controller; empty: the machine was removed (tombstone)
 * @param incarnation the leader's incarnation
 * @param fencingToken revision of the change that wrote this; 0 until that is known
 * @param type name of the machine type
 * @param zone zone of the machine
 * @param spot whether the cloud may interrupt it
 */
public record MachineEntry(
    String node, long incarnation, long fencingToken, String type, String zone, boolean spot)
    implements StoredEntry {
  /** The same with the revision of its change as fencing token. */
  public MachineEntry withFencingToken(long newFencingToken) {
    return new MachineEntry(node, incarnation, newFencingToken, type, zone, spot);
  }

  /** The entry of a removed machine that a group entry still names. */
  public static MachineEntry tombstone() {
    return new MachineEntry("", 0, 0, "", "", false);
  }
}
