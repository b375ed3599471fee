package mallowstall.core.cluster;

import java.util.HashSet;
import java.util.Set;
import mallowstall.core.model.StartBatch;
import mallowstall.core.model.StatusUpdate;

/**
 * What this controller knows of one controller, which may be itself: the status updates received
 * from it, what it has acknowledged, and the starts received from it. Mutable.
 *
 * <p>Connections are numbered by the process that opens them, status updates and batches of starts
 * by the process that sends them; all numbers only grow within a process.
 */
public final class PeerState {
  private final String node;

  // received status updates
  private long incarnation;
  private long serial;
  private long lastUpdateMs = Long.MIN_VALUE / 2;
  private long lastUpdateOrdinal;
  private long replicaRevision;
  private long replicaFreshAtMs = Long.MIN_VALUE / 2;
  private Set<String> machines = new HashSet<>();

  // what it has acknowledged of this process
  private long acknowledgedSerial;
  private long acknowledgedConnection;
  private long acknowledgedSequence;
  private long cancellationsKnownAtMs = Long.MIN_VALUE / 2;

  // starts sent to it
  private long connection;
  private long nextSequence = 1;

  // starts received from it
  private long lastStartsIncarnation;
  private long lastStartsConnection;
  private long lastStartsSequence;

  PeerState(String node) {
    this.node = node;
  }

  /** The node of the controller. */
  String node() {
    return node;
  }

  /** Its newest process from which a status update was received; 0: none was. */
  public long incarnation() {
    return incarnation;
  }

  /** The number of the newest status update applied of that process; 0: none was. */
  public long serial() {
    return serial;
  }

  /** The controller has a new process, which has published and acknowledged nothing yet. */
  void startIncarnation(long newIncarnation) {
    incarnation = newIncarnation;
    acknowledgedConnection = 0;
    acknowledgedSequence = 0;
    serial = 0;
  }

  /**
   * Applies what a status update says of its sender.
   *
   * @param ordinal how many updates of all controllers were received with this one
   * @param ownIncarnation this process; what was acknowledged of a former one doesn't count
   * @param now steady time in ms
   */
  void applyHeader(StatusUpdate update, long ordinal, long ownIncarnation, long now) {
    lastUpdateOrdinal = ordinal;
    serial = update.serial();
    acknowledgedSerial =
        update.acknowledgedIncarnation() == ownIncarnation ? update.acknowledgedSerial() : 0;
    lastUpdateMs = now;
    replicaRevision = update.replicaRevision();
    // guards against a task started twice: connections are numbered anew by each process, so an
    // acknowledgement of a former one's starts says nothing of this one's
    boolean acknowledgesThisIncarnation = update.acknowledgedStartsIncarnation() == ownIncarnation;
    acknowledgedConnection =
        acknowledgesThisIncarnation ? update.acknowledgedStartsConnection() : 0;
    acknowledgedSequence = acknowledgesThisIncarnation ? update.acknowledgedStartsSequence() : 0;
    replicaFreshAtMs = now - update.replicaAgeMs();
  }

  /** Steady time in ms of the last status update applied. */
  public long lastUpdateMs() {
    return lastUpdateMs;
  }

  /** How many updates of all controllers were received here up to its last one. */
  public long lastUpdateOrdinal() {
    return lastUpdateOrdinal;
  }

  /** The revision of its replica when it made its last status update. */
  public long replicaRevision() {
    return replicaRevision;
  }

  /** Steady time in ms up to which its replica was fresh by its last update; not before that. */
  public long replicaFreshAtMs() {
    return replicaFreshAtMs;
  }

  /** Whether it leads the machine, by its status updates. */
  public boolean leads(String machine) {
    return machines.contains(machine);
  }

  /** The machines that it leads; a live view, not to be changed. */
  Set<String> machines() {
    return machines;
  }

  /** It leads these machines and no others; the set is kept, not copied. */
  void replaceMachines(Set<String> led) {
    machines = led;
  }

  /** It leads these machines too. */
  void addMachines(Set<String> led) {
    machines.addAll(led);
  }

  /** It leads the machine no longer; returns whether it did. */
  boolean removeMachine(String machine) {
    return machines.remove(machine);
  }

  /** The newest status update of this process that it has applied; 0: it needs a full one. */
  public long acknowledgedSerial() {
    return acknowledgedSerial;
  }

  /** The connection of this process by which the last starts have reached it; 0: none has. */
  public long acknowledgedConnection() {
    return acknowledgedConnection;
  }

  /** The number of the last batch of starts that has reached it by that connection. */
  public long acknowledgedSequence() {
    return acknowledgedSequence;
  }

  /**
   * Steady time in ms up to which this controller knows of all cancellations that the peer has
   * confirmed to users. An update names them, and it was made after the peer had applied one that
   * was sent from here at this time; the time of arrival won't do, since an update may be delayed.
   */
  long cancellationsKnownAtMs() {
    return cancellationsKnownAtMs;
  }

  /** All cancellations that the peer confirmed up to this time are known. */
  void recordCancellationsKnown(long atMs) {
    cancellationsKnownAtMs = Math.max(cancellationsKnownAtMs, atMs);
  }

  /** A new connection stands; its other end may be another process, which needs a full update. */
  void startConnection(long newConnection) {
    connection = newConnection;
    acknowledgedSerial = 0;
  }

  /** The present connection to it, or the last one. */
  public long connection() {
    return connection;
  }

  /** The number that the next batch of starts to it will have. */
  public long nextSequence() {
    return nextSequence;
  }

  /** Takes the number for a batch of starts to it. */
  public long takeSequence() {
    return nextSequence++;
  }

  /**
   * Records a batch of starts received from it. Those that come by a former connection were
   * answered as lost already.
   *
   * @return false: the batch is a repeated one, or one of a former connection or process
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

  /** The process from which the last starts were received, to be acknowledged; 0: none. */
  public long lastStartsIncarnation() {
    return lastStartsIncarnation;
  }

  /** The connection by which the last starts were received, to be acknowledged. */
  public long lastStartsConnection() {
    return lastStartsConnection;
  }

  /** The number of the last batch of starts received, to be acknowledged. */
  public long lastStartsSequence() {
    return lastStartsSequence;
  }
}
