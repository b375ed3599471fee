package mallowstall.core.machines;

import mallowstall.core.model.Heartbeat;
import mallowstall.core.model.MachineType;

/**
 * One machine that this controller leads: leadership, worker session, lease and health. Mutable.
 */
final class ManagedMachine {
  /** Count. Errors in a row, no success between, that put a machine into quarantine. */
  private static final int QUARANTINE_ERRORS = 2;

  /** Count. Errors in a row after which a machine is replaced. */
  private static final int REPLACEMENT_ERRORS = 3;

  /** ms. A machine in quarantine gets no task for so long, then it is tried again. */
  private static final long QUARANTINE_MS = 25_000;

  private final String id;
  private final MachineType type;
  private final String zone;
  private final boolean spot;
  private final CommandChannel commands = new CommandChannel();
  private final PublishedStatus published = new PublishedStatus();
  private final MachineTasks tasks;
  private final ImageCache images;

  private long fencingToken;
  private boolean tokenAcknowledged;

  /** Whether it was recovered from this controller's former process, which is dead. */
  private boolean recovered;

  /** Whether another controller may have answered it after that process had ended. */
  private boolean interveningLeader;

  private String address;
  private long workerSession;
  private long latestHeartbeatSequence;
  private long handledHeartbeatSequence;
  private long lastHeartbeatMs;
  private long lastResponseMs;
  private boolean leaseExpired;
  private long terminationDeadlineMs = Long.MAX_VALUE;
  private long drainUntilMs;
  private long quarantineUntilMs;
  private int consecutiveErrors;
  private boolean faulty;

  /**
   * A machine whose leadership was written at that revision.
   *
   * @param fencingToken the revision of the machine's entry
   * @param now in ms of the steady clock
   */
  ManagedMachine(
      String id, MachineType type, String zone, boolean spot, long fencingToken, long now) {
    this.id = id;
    this.type = type;
    this.zone = zone;
    this.spot = spot;
    this.fencingToken = fencingToken;
    this.tasks = new MachineTasks(published::markChanged, now);
    this.images = new ImageCache(type.cacheGb());
  }

  /** The machine's name. */
  String id() {
    return id;
  }

  /** The machine's type. */
  MachineType type() {
    return type;
  }

  /** The zone that it stands in. */
  String zone() {
    return zone;
  }

  /** Whether the cloud may interrupt it. */
  boolean spot() {
    return spot;
  }

  /** Tasks, accepted starts and stops. */
  MachineTasks tasks() {
    return tasks;
  }

  /** Commands sent to the worker's own address. */
  CommandChannel commands() {
    return commands;
  }

  /** What status updates have said of it. */
  PublishedStatus published() {
    return published;
  }

  /** Images that it has cached. */
  ImageCache images() {
    return images;
  }

  /** The token of this leadership: the revision at which the machine's entry was written. */
  long fencingToken() {
    return fencingToken;
  }

  /** A larger token is stored; commands under the old one are dead once it is acknowledged. */
  void raiseFencingToken(long newToken) {
    fencingToken = newToken;
    tokenAcknowledged = false;
    commands.markTokenRaised();
    published.markChanged();
  }

  /** Whether the worker has acknowledged the token: it accepts no other leader's answers then. */
  boolean tokenAcknowledged() {
    return tokenAcknowledged;
  }

  /**
   * The machine was recovered from this controller's former process.
   *
   * @param formerEndMs when that process may have answered last, in ms of the steady clock
   * @param heartbeatMs when a heartbeat is assumed to have come last
   */
  void markRecovered(boolean intervening, long formerEndMs, long heartbeatMs) {
    recovered = true;
    interveningLeader = intervening;
    lastResponseMs = formerEndMs;
    lastHeartbeatMs = heartbeatMs;
  }

  /** Whether it was recovered from this controller's former process. */
  boolean recovered() {
    return recovered;
  }

  /** Another controller may have answered the machine after the former process had ended. */
  void markInterveningLeader() {
    interveningLeader = true;
  }

  /** Whether a former leader may still be renewing the worker's lease. */
  boolean formerLeaderMayAnswer() {
    return !tokenAcknowledged && (!recovered || interveningLeader);
  }

  /** The worker's own address; null before the first heartbeat. */
  String address() {
    return address;
  }

  /** The worker's session; 0 before the first heartbeat. */
  long workerSession() {
    return workerSession;
  }

  /** The newest heartbeat of the session, those that answered direct commands included. */
  long latestHeartbeatSequence() {
    return latestHeartbeatSequence;
  }

  /** The newest heartbeat of the session that the worker sent by itself. */
  long handledHeartbeatSequence() {
    return handledHeartbeatSequence;
  }

  /** A heartbeat that the worker sent by itself is handled. */
  void recordHandledSequence(long sequence) {
    handledHeartbeatSequence = sequence;
  }

  /** Whether the heartbeat is newer than all that is known of the machine. */
  boolean isNewer(Heartbeat heartbeat) {
    return heartbeat.session() > workerSession
        || (heartbeat.session() == workerSession && heartbeat.sequence() > latestHeartbeatSequence);
  }

  /** The worker's tasks of earlier sessions have ended, and it rejects commands for those. */
  void beginSession() {
    published.clearExits();
    commands.settle();
    handledHeartbeatSequence = 0;
  }

  /** Takes in what a heartbeat says of the worker, but for its tasks. */
  void recordHeartbeat(Heartbeat heartbeat, long now) {
    workerSession = heartbeat.session();
    latestHeartbeatSequence = heartbeat.sequence();
    lastHeartbeatMs = now;
    address = heartbeat.address();
    leaseExpired = false;
    if (heartbeat.fencingToken() >= fencingToken) {
      tokenAcknowledged = true;
    }
    terminationDeadlineMs =
        heartbeat.interruptionNoticeS() == null
            ? Long.MAX_VALUE
            : now + (long) (heartbeat.interruptionNoticeS() * 1000);
  }

  /** When the last heartbeat came, in ms of the steady clock. */
  long lastHeartbeatMs() {
    return lastHeartbeatMs;
  }

  /** An answer that renews the worker's lease leaves at that time, in ms of the steady clock. */
  void recordResponse(long atMs) {
    lastResponseMs = atMs;
  }

  /** When the last answer left; the worker's lease counts from then at the latest. */
  long lastResponseMs() {
    return lastResponseMs;
  }

  /** The worker's lease is over: nothing is left on the machine. */
  void expireLease(long now) {
    leaseExpired = true;
    tokenAcknowledged = true;
    tasks.clear(now);
    commands.settle();
    published.markChanged();
  }

  /** Whether the worker's lease is over and no heartbeat has come since. */
  boolean leaseExpired() {
    return leaseExpired;
  }

  /** Whether the cloud has announced that it will take the machine. */
  boolean terminationAnnounced() {
    return terminationDeadlineMs != Long.MAX_VALUE;
  }

  /** When the cloud will take the machine; {@code Long.MAX_VALUE}: not announced. */
  long terminationDeadlineMs() {
    return terminationDeadlineMs;
  }

  /** The machine gets no tasks until then, since it is to be returned. */
  void drainUntil(long untilMs) {
    drainUntilMs = untilMs;
  }

  /** Whether the machine is being drained. */
  boolean draining(long now) {
    return drainUntilMs > now;
  }

  /** A task succeeded here. */
  void recordSuccess() {
    consecutiveErrors = 0;
  }

  /** A task failed here by no fault of its job: after several in a row the machine is suspect. */
  void recordError(long now) {
    consecutiveErrors++;
    if (consecutiveErrors >= QUARANTINE_ERRORS) {
      quarantineUntilMs = now + QUARANTINE_MS;
      if (consecutiveErrors >= REPLACEMENT_ERRORS) {
        faulty = true;
      }
    }
  }

  /** Tasks that failed here in a row. */
  int consecutiveErrors() {
    return consecutiveErrors;
  }

  /** Whether the machine gets no tasks for now since several failed. */
  boolean quarantined(long now) {
    return quarantineUntilMs > now;
  }

  /** Whether so many tasks failed that the machine is to be replaced. */
  boolean faulty() {
    return faulty;
  }
}
