package mallowstall.core.cluster;

/** Why a machine isn't fully reported by the leader that its entry names. */
public enum ReportingGap {
  /** There is none: the machine is fully reported. */
  NONE,
  /** No status of the machine has been received. */
  NO_STATUS,
  /**
   * The controller that reported the machine last has released it, and no other has reported it.
   */
  RELEASED,
  /** Another controller than the leader reported the machine last. */
  OTHER_LEADER,
  /** A former process of the leader reported the machine last. */
  FORMER_PROCESS,
  /** The leader reported the machine last under another fencing token than its entry's. */
  OTHER_TOKEN,
  /** The worker hasn't shown the leader's fencing token. */
  TOKEN_NOT_ACKNOWLEDGED
}
