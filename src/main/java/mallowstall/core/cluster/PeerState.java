package mallowstall.core.cluster;

import java.util.HashSet;
import java.util.Set;
import mallowstall.core.model.StartBatch;
import mallowstall.core.model.StatusUpdate;

/**
 * The state that this controller keeps about one controller, called the peer here, which may be
 * this controller itself: the status updates received from the peer, what the peer has
 * acknowledged, and the starts exchanged with the peer. Mutable.
 *
 * <p>Connections are numbered by the process that opens them, status updates and batches of starts
 * by the process that sends them. All numbers only grow within a process.
 */
public final class PeerState {
  private final String node;

  // Status updates received from the peer.
  private long incarnation;
  private long serial;
  private long lastUpdateMs = Long.MIN_VALUE / 2;
  private long lastUpdateOrdinal;
  private long replicaRevision;
  private long replicaFreshAtMs = Long.MIN_VALUE / 2;
  private Set<String> machines = new HashSet<>();

  // What the peer has acknowledged of this process.
  private long acknowledgedSerial;
  private long acknowledgedConnection;
  private long acknowledgedSequence;
  private long cancellationsKnownAtMs = Long.MIN_VALUE / 2;

  // Starts sent to the peer.
  private long connection;
  private long nextSequence = 1;

  // Starts received from the peer.
  private long lastStartsIncarnation;
  private long lastStartsConnection;
  private long lastStartsSequence;

  PeerState(String node) {
    this.node = node;
  }

  /** Returns the peer's node name. */
  String node() {
    return node;
  }

  /** Returns the newest incarnation of the peer that sent a status update, or 0 if none did. */
  public long incarnation() {
    return incarnation;
  }

  /**
   * Returns the serial number of the newest status update applied of the peer's newest incarnation,
   * or 0 if none was applied.
   */
  public long serial() {
    return serial;
  }

  /**
   * Records a new process of the peer, from which no status update has been applied and which has
   * acknowledged no starts. The machines are kept until a full update replaces them.
   */
  void startIncarnation(long newIncarnation) {
    incarnation = newIncarnation;
    acknowledgedConnection = 0;
    acknowledgedSequence = 0;
    serial = 0;
  }

  /**
   * Applies the fields of a status update that describe its sender.
   *
   * @param ordinal number of updates received from all controllers, including this one
   * @param ownIncarnation incarnation of this process; acknowledgements of a former one are ignored
   * @param now steady time in milliseconds
   */
  void applyHeader(StatusUpdate update, long ordinal, long ownIncarnation, long now) {
    lastUpdateOrdinal = ordinal;
    serial = update.serial();
    acknowledgedSerial =
        update.acknowledgedIncarnation() == ownIncarnation ? update.acknowledgedSerial() : 0;
    lastUpdateMs = now;
    replicaRevision = update.replicaRevision();
    // Prevents a second start of a task: each process numbers its connections anew, so the
    // acknowledgement of a former process's starts doesn't apply to the starts of this process.
    boolean acknowledgesThisIncarnation = update.acknowledgedStartsIncarnation() == ownIncarnation;
    acknowledgedConnection =
        acknowledgesThisIncarnation ? update.acknowledgedStartsConnection() : 0;
    acknowledgedSequence = acknowledgesThisIncarnation ? update.acknowledgedStartsSequence() : 0;
    replicaFreshAtMs = now - update.replicaAgeMs();
  }

  /** Returns the steady time in milliseconds of the last status update applied. */
  public long lastUpdateMs() {
    return lastUpdateMs;
  }

  /** Returns how many updates of all controllers were received up to the peer's last one. */
  public long lastUpdateOrdinal() {
    return lastUpdateOrdinal;
  }

  /** Returns the revision of the peer's state replica as of the peer's last status update. */
  public long replicaRevision() {
    return replicaRevision;
  }

  /**
   * Returns the steady time in milliseconds up to which the peer's state replica was fresh,
   * according to its last status update. The value is computed from the arrival time of the update,
   * so it may be later than the true time but never earlier.
   */
  public long replicaFreshAtMs() {
    return replicaFreshAtMs;
  }

  /** Returns whether the peer leads the machine according to its status updates. */
  public boolean leads(String machine) {
    return machines.contains(machine);
  }

  /** Returns the machines that the peer leads, as a live view that must not be changed. */
  Set<String> machines() {
    return machines;
  }

  /** Sets the machines that the peer leads; the set is kept, not copied. */
  void replaceMachines(Set<String> led) {
    machines = led;
  }

  /** Adds machines that the peer leads. */
  void addMachines(Set<String> led) {
    machines.addAll(led);
  }

  /** Records that the peer doesn't lead the machine any more; returns whether it did. */
  boolean removeMachine(String machine) {
    return machines.remove(machine);
  }

  /**
   * Returns the serial number of the newest status update of this process that the peer has
   * applied, or 0 if the peer needs a full update.
   */
  public long acknowledgedSerial() {
    return acknowledgedSerial;
  }

  /**
   * Returns the number of the connection on which the last starts of this process reached the peer,
   * or 0 if none did.
   */
  public long acknowledgedConnection() {
    return acknowledgedConnection;
  }

  /**
   * Returns the number of the last batch of starts that reached the peer on {@link
   * #acknowledgedConnection}.
   */
  public long acknowledgedSequence() {
    return acknowledgedSequence;
  }

  /**
   * Returns the steady time in milliseconds up to which this controller has all cancellations that
   * the peer has confirmed to users. The peer's update that named them was composed after the peer
   * had applied an update that this controller sent at this time. The arrival time of the peer's
   * update can't be used instead, since the update may be delayed.
   */
  long cancellationsKnownAtMs() {
    return cancellationsKnownAtMs;
  }

  /** Records that all cancellations that the peer confirmed up to this time were received. */
  void recordCancellationsKnown(long atMs) {
    cancellationsKnownAtMs = Math.max(cancellationsKnownAtMs, atMs);
  }

  /**
   * Records a new connection to the peer. Its other end may be a new process, which needs a full
   * status update.
   */
  void startConnection(long newConnection) {
    connection = newConnection;
    acknowledgedSerial = 0;
  }

  /** Returns the number of the present connection to the peer, or else of the last one. */
  public long connection() {
    return connection;
  }

  /** Returns the number that the next batch of starts to the peer will have. */
  public long nextSequence() {
    return nextSequence;
  }

  /** Returns the number for a batch of starts to the peer and increments it for the next one. */
  public long takeSequence() {
    return nextSequence++;
  }

  /**
   * Records a batch of starts received from the peer. Starts on a former connection are ignored,
   * since this controller acknowledges a later connection, from which the peer concludes that they
   * were lost.
   *
   * @return false if the batch is repeated or belongs to a former connection or process
   */
  boolean acceptStarts(StartBatch batch) {
    if (batch.incarnation() < lastStartsIncarnation) {
      return false;
    }
    if (batch.incarnation() > lastStartsIncarnation) {
      lastStartsIncarnation = batch.incarnation();
      lastStartsConnection = 0;
      lastStartsSequence = 0;
    }
    if (batch.connection() < lastStartsConnection
        || (batch.connection() == lastStartsConnection && batch.sequence() <= lastStartsSequence)) {
      return false;
    }
    lastStartsConnection = batch.connection();
    lastStartsSequence = batch.sequence();
    return true;
  }

  /**
   * Returns the peer's incarnation that sent the last starts received, or 0 if none were received.
   * Status updates acknowledge it.
   */
  public long lastStartsIncarnation() {
    return lastStartsIncarnation;
  }

  /** Returns the connection of the last starts received; status updates acknowledge it. */
  public long lastStartsConnection() {
    return lastStartsConnection;
  }

  /** Returns the number of the last batch of starts received; status updates acknowledge it. */
  public long lastStartsSequence() {
    return lastStartsSequence;
  }
}
