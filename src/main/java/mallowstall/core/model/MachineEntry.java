package mallowstall.core.model;

/**
 * Who owns a machine. The token is the revision at which this was written, so whatever is written
 * later has the larger one; it isn't known before and stands in the mirror only. No node: the
 * machine was returned.
 */
public record MachineEntry(
    String node, long incarnation, long fencingToken, String type, String zone, boolean spot)
    implements StoredEntry {
  /** The same with the revision of its change as fencing token. */
  public MachineEntry withFencingToken(long newFencingToken) {
    return new MachineEntry(node, incarnation, newFencingToken, type, zone, spot);
  }

  /** The entry of a returned machine that a group entry still names. */
  public static MachineEntry tombstone() {
    return new MachineEntry("", 0, 0, "", "", false);
  }
}
