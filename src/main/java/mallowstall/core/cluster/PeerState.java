package mallowstall.core.cluster;

import java.util.HashSet;
import java.util.Set;
import mallowstall.core.model.StatusUpdate;

/** What is known of a controller's roster. */
public final class PeerState {
  final String node;
  public long incarnation;
  public long serial;
  public long connection;
  public long nextSequence = 1;
  public long acknowledgedConnection;
  public long acknowledgedSequence;
  public long lastUpdateMs = Long.MIN_VALUE / 2;

  /** Which of the rosters received here its last one was. */
  public long lastUpdateOrdinal;

  /** Its newest statement that this controller has taken in, and the process that made it. */
  public long appliedIncarnation;

  public long appliedSerial;

  /** This controller's newest statement that the peer has taken in; 0: tell it all. */
  public long acknowledgedSerial;

  public long replicaRevision;
  public long replicaFreshAtMs = Long.MIN_VALUE / 2;

  /**
   * Up to when this controller knows of all cancellations that the peer has told users: its
   * statement names them, and it was made after it had taken in one that was sent from here at this
   * time. Dated from its arrival, a statement that a cut had held back passed for new.
   */
  long cancellationsKnownAtMs = Long.MIN_VALUE / 2;

  /** What this controller acknowledges to that one. */
  public long lastStartsConnection;

  public long lastStartsSequence;
  public long lastStartsIncarnation;
  public Set<String> machines = new HashSet<>();

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
}
