package mallowstall.core.cluster;

import java.util.HashSet;
import java.util.Set;
import mallowstall.core.model.StatusUpdate;

/** What is known of a controller's roster. */
public final class PeerState {
  private final String node;
  private long incarnation;
  private long serial;
  private long connection;
  private long nextSequence = 1;
  private long acknowledgedConnection;
  private long acknowledgedSequence;
  private long lastUpdateMs = Long.MIN_VALUE / 2;

  /** Which of the rosters received here its last one was. */
  private long lastUpdateOrdinal;

  /** Its newest statement that this controller has taken in, and the process that made it. */
  private long appliedIncarnation;

  private long appliedSerial;

  /** This controller's newest statement that the peer has taken in; 0: tell it all. */
  private long acknowledgedSerial;

  private long replicaRevision;
  private long replicaFreshAtMs = Long.MIN_VALUE / 2;

  /**
   * Up to when this controller knows of all cancellations that the peer has told users: its
   * statement names them, and it was made after it had taken in one that was sent from here at this
   * time. Dated from its arrival, a statement that a cut had held back passed for new.
   */
  private long cancellationsKnownAtMs = Long.MIN_VALUE / 2;

  /** What this controller acknowledges to that one. */
  private long lastStartsConnection;

  private long lastStartsSequence;
  private long lastStartsIncarnation;
  private Set<String> machines = new HashSet<>();

  PeerState(String node) {
    this.node = node;
  }

  /** The peer has a new process, which has told and acknowledged nothing. */
  void startIncarnation(long newIncarnation) {
    incarnation = newIncarnation;
    acknowledgedConnection = 0;
    acknowledgedSequence = 0;
    serial = 0;
    appliedIncarnation = newIncarnation;
    appliedSerial = 0;
  }

  /** Takes over what a new roster says of its sender. */
  void applyHeader(StatusUpdate statusUpdate, long ownIncarnation, long now) {
    serial = statusUpdate.serial();
    appliedSerial = statusUpdate.serial();
    acknowledgedSerial =
        statusUpdate.acknowledgedIncarnation() == ownIncarnation
            ? statusUpdate.acknowledgedSerial()
            : 0;
    lastUpdateMs = now;
    replicaRevision = statusUpdate.replicaRevision();
    // Connections are numbered anew by each process: what the peer acknowledges of a former one
    // says nothing of this one's starts. Taking it for an answer once started a task twice.
    boolean acknowledgesThisIncarnation =
        statusUpdate.acknowledgedStartsIncarnation() == ownIncarnation;
    acknowledgedConnection =
        acknowledgesThisIncarnation ? statusUpdate.acknowledgedStartsConnection() : 0;
    acknowledgedSequence =
        acknowledgesThisIncarnation ? statusUpdate.acknowledgedStartsSequence() : 0;
    replicaFreshAtMs = now - statusUpdate.replicaAgeMs();
  }

  /** The node. */
  String node() {
    return node;
  }

  /** The incarnation. */
  public long incarnation() {
    return incarnation;
  }

  /** The serial. */
  public long serial() {
    return serial;
  }

  /** The connection. */
  public long connection() {
    return connection;
  }

  /** Sets the connection. */
  public void setConnection(long newValue) {
    this.connection = newValue;
  }

  /** The sequence number that the next batch of starts to this controller will have. */
  public long nextSequence() {
    return nextSequence;
  }

  /** The sequence number of the next batch of starts to this controller; each is taken once. */
  public long takeSequence() {
    return nextSequence++;
  }

  /** The acknowledged connection. */
  public long acknowledgedConnection() {
    return acknowledgedConnection;
  }

  /** The acknowledged sequence. */
  public long acknowledgedSequence() {
    return acknowledgedSequence;
  }

  /** The last update, in ms of the steady clock. */
  public long lastUpdateMs() {
    return lastUpdateMs;
  }

  /** Which of the rosters received here its last one was. */
  public long lastUpdateOrdinal() {
    return lastUpdateOrdinal;
  }

  /** Sets the last update ordinal. */
  public void setLastUpdateOrdinal(long newValue) {
    this.lastUpdateOrdinal = newValue;
  }

  /** Its newest statement that this controller has taken in, and the process that made it. */
  public long appliedIncarnation() {
    return appliedIncarnation;
  }

  /** The applied serial. */
  public long appliedSerial() {
    return appliedSerial;
  }

  /** This controller's newest statement that the peer has taken in; 0: tell it all. */
  public long acknowledgedSerial() {
    return acknowledgedSerial;
  }

  /** Sets the acknowledged serial. */
  public void setAcknowledgedSerial(long newValue) {
    this.acknowledgedSerial = newValue;
  }

  /** The replica revision. */
  public long replicaRevision() {
    return replicaRevision;
  }

  /** The replica fresh at, in ms of the steady clock. */
  public long replicaFreshAtMs() {
    return replicaFreshAtMs;
  }

  /**
   * Up to when this controller knows of all cancellations that the peer has told users: its
   * statement names them, and it was made after it had taken in one that was sent from here at this
   * time. Dated from its arrival, a statement that a cut had held back passed for new.
   */
  long cancellationsKnownAtMs() {
    return cancellationsKnownAtMs;
  }

  /** Sets the cancellations known at, in ms of the steady clock. */
  void setCancellationsKnownAtMs(long newValue) {
    this.cancellationsKnownAtMs = newValue;
  }

  /** What this controller acknowledges to that one. */
  public long lastStartsConnection() {
    return lastStartsConnection;
  }

  /** Sets the last starts connection. */
  public void setLastStartsConnection(long newValue) {
    this.lastStartsConnection = newValue;
  }

  /** The last starts sequence. */
  public long lastStartsSequence() {
    return lastStartsSequence;
  }

  /** Sets the last starts sequence. */
  public void setLastStartsSequence(long newValue) {
    this.lastStartsSequence = newValue;
  }

  /** The last starts incarnation. */
  public long lastStartsIncarnation() {
    return lastStartsIncarnation;
  }

  /** Sets the last starts incarnation. */
  public void setLastStartsIncarnation(long newValue) {
    this.lastStartsIncarnation = newValue;
  }

  /** The machines. */
  public Set<String> machines() {
    return machines;
  }

  /** Sets the machines. */
  public void setMachines(Set<String> newValue) {
    this.machines = newValue;
  }
}
