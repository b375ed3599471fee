package mallowstall.core.machines;

import mallowstall.core.model.Heartbeat;
import mallowstall.core.model.MachineType;

/**
 * A machine that this controller leads: its leadership, worker session, worker lease and health.
 * Mutable.
 */
final class ManagedMachine {
  private final String id;
  private final MachineType type;
  private final String zone;
  private final boolean spot;
  private final CommandChannel commands = new CommandChannel();
  private final PublishedStatus published = new PublishedStatus();
  private final MachineTasks tasks;
  private final ImageCache images;
  private final ImageFetches imageFetches = new ImageFetches();
  private final MachineHealth health = new MachineHealth();
  private MachineInspection inspection = MachineInspection.NONE;

  private long fencingToken;
  private long commandToken;
  private boolean tokenAcknowledged;

  /** Whether the machine was led by this controller's former process, which has ended. */
  private boolean recovered;

  /** Whether another controller may have answered the worker after the former process ended. */
  private boolean interveningLeader;

  /** Whether every other controller has released the machine since the fencing token was stored. */
  private boolean releasedByOthers;

  private String address;
  private long workerSession;
  private long latestHeartbeatSequence;
  private long handledHeartbeatSequence;
  private long lastHeartbeatMs;
  private long lastArrivalMs;
  private long reportedSinceMs = Long.MIN_VALUE / 2;
  private long lastResponseMs;
  private long releasedByOthersMs = Long.MIN_VALUE / 2;
  private boolean leaseExpired;
  private long terminationDeadlineMs = Long.MAX_VALUE;
  private long drainUntilMs;

  /**
   * Creates a machine whose leadership is recorded in its entry.
   *
   * @param fencingToken the revision at which the machine's entry was written
   * @param now the current time in milliseconds of the steady clock
   */
  ManagedMachine(
      String id, MachineType type, String zone, boolean spot, long fencingToken, long now) {
    this.id = id;
    this.type = type;
    this.zone = zone;
    this.spot = spot;
    this.fencingToken = fencingToken;
    this.commandToken = fencingToken;
    this.tasks = new MachineTasks(published::markChanged, now);
    this.images = new ImageCache(type.cacheGb());
  }

  String id() {
    return id;
  }

  MachineType type() {
    return type;
  }

  String zone() {
    return zone;
  }

  /** Returns whether the cloud may interrupt the machine. */
  boolean spot() {
    return spot;
  }

  /** Returns the reported tasks, reservations and pending stops. */
  MachineTasks tasks() {
    return tasks;
  }

  /** Returns the state of the commands sent to the worker's own address. */
  CommandChannel commands() {
    return commands;
  }

  /** Returns the status of the machine that was last published to peers. */
  PublishedStatus published() {
    return published;
  }

  /** Returns the images that the machine has most likely cached. */
  ImageCache images() {
    return images;
  }

  /** Returns how tasks have fared on the machine. */
  MachineHealth health() {
    return health;
  }

  /** Returns the images that the machine fetches. */
  ImageFetches imageFetches() {
    return imageFetches;
  }

  /**
   * Returns the fencing token, which is the revision at which this leadership was written to the
   * machine's entry.
   */
  long fencingToken() {
    return fencingToken;
  }

  /**
   * Records that a larger fencing token is stored. Once the worker acknowledges that token, it
   * ignores commands under the old one.
   */
  void raiseFencingToken(long newToken) {
    fencingToken = newToken;
    tokenAcknowledged = false;
    releasedByOthers = false;
    raiseCommandToken(newToken);
    commands.markTokenRaised();
    published.markChanged();
  }

  /**
   * Returns the token that all commands carry. It is at least the fencing token, and smaller than
   * the fencing token of any later leader.
   */
  long commandToken() {
    return commandToken;
  }

  /** Makes all later commands carry this token, if it is larger than the present one. */
  void raiseCommandToken(long newToken) {
    if (newToken > commandToken) {
      commandToken = newToken;
      commands.startNewToken();
    }
  }

  /**
   * Returns whether the worker has acknowledged the fencing token. A worker that has done so
   * ignores responses of former leaders.
   */
  boolean tokenAcknowledged() {
    return tokenAcknowledged;
  }

  /**
   * Records that the machine was led by this controller's former process.
   *
   * @param intervening whether another controller may have answered the worker since that process
   *     ended
   * @param formerProcessEndMs the latest time at which that process may have answered the worker,
   *     in milliseconds of the steady clock
   * @param heartbeatMs the assumed time of the last heartbeat, in milliseconds of the steady clock
   */
  void markRecovered(boolean intervening, long formerProcessEndMs, long heartbeatMs) {
    recovered = true;
    interveningLeader = intervening;
    lastResponseMs = formerProcessEndMs;
    lastHeartbeatMs = heartbeatMs;
  }

  /** Returns whether the machine was recovered from this controller's former process. */
  boolean recovered() {
    return recovered;
  }

  /**
   * Records that another controller may have answered the worker after the former process ended.
   */
  void markInterveningLeader() {
    interveningLeader = true;
  }

  /** Returns whether a former leader may still renew the worker's lease. */
  boolean formerLeaderMayAnswer() {
    return !tokenAcknowledged && !releasedByOthers && (!recovered || interveningLeader);
  }

  /** Records that every other controller has released the machine, and answers it no more. */
  void recordReleasedByOthers(long now) {
    releasedByOthers = true;
    releasedByOthersMs = now;
  }

  /** Returns the worker's own address, or null before the first heartbeat. */
  String address() {
    return address;
  }

  /** Returns the worker's session, or 0 before the first heartbeat. */
  long workerSession() {
    return workerSession;
  }

  /** Returns the number of the session's newest heartbeat, including answers to direct commands. */
  long latestHeartbeatSequence() {
    return latestHeartbeatSequence;
  }

  /**
   * Returns the number of the session's newest handled heartbeat that did not answer a direct
   * command.
   */
  long handledHeartbeatSequence() {
    return handledHeartbeatSequence;
  }

  /** Records the number of a handled heartbeat that did not answer a direct command. */
  void recordHandledSequence(long sequence) {
    handledHeartbeatSequence = sequence;
  }

  /** Returns whether the heartbeat is newer than the newest one recorded for the machine. */
  boolean isNewer(Heartbeat heartbeat) {
    return heartbeat.session() > workerSession
        || (heartbeat.session() == workerSession && heartbeat.sequence() > latestHeartbeatSequence);
  }

  /**
   * Records that the worker has begun a new session. The worker's tasks of earlier sessions have
   * ended, and it rejects commands that were sent for an earlier session.
   */
  void beginSession() {
    published.clearExits();
    commands.endSession();
    handledHeartbeatSequence = 0;
  }

  /** Records the contents of a heartbeat except for its tasks. */
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

  /**
   * Records that a heartbeat arrived that the worker sent by itself. Must be called before {@link
   * #recordHeartbeat}. The heartbeat shows the present state of the machine only if nothing
   * indicates that the network has held it back: it comes as soon as the worker's interval between
   * heartbeats makes expect, no other report came between it and the last one known here, and it
   * contains the fencing token, unlike late copies of heartbeats to former leaders.
   *
   * @param maxGapMs maximum time in milliseconds between two heartbeats that arrive without delay
   * @return whether the heartbeat shows the present state
   */
  boolean recordArrival(Heartbeat heartbeat, long now, long maxGapMs) {
    Heartbeat inspected = inspection.report();
    boolean inspectedLast = inspected != null && isNewer(inspected);
    long lastSequence = inspectedLast ? inspected.sequence() : latestHeartbeatSequence;
    boolean isNext =
        heartbeat.session() == workerSession && heartbeat.sequence() == lastSequence + 1;
    boolean isExpected = now - lastArrivalMs <= maxGapMs;
    boolean showsPresent = isNext && isExpected && heartbeat.fencingToken() >= fencingToken;
    if (showsPresent) {
      recordReport(now);
    }
    lastArrivalMs = now;
    return showsPresent;
  }

  /**
   * Records that the worker composed the report of {@link #tasks} at this time or later, in
   * milliseconds of the steady clock.
   */
  void recordReport(long atMs) {
    reportedSinceMs = Math.max(reportedSinceMs, atMs);
  }

  /**
   * Returns a steady time in milliseconds at or after which the worker composed the report of
   * {@link #tasks}, or a time far in the past if none is known.
   */
  long reportedSinceMs() {
    return reportedSinceMs;
  }

  /** Returns the last report that the worker returned when it was asked for one. */
  MachineInspection inspection() {
    return inspection;
  }

  /** Records that the worker is asked for a report; returns the inspection in progress. */
  MachineInspection beginInspection() {
    if (inspection.equals(MachineInspection.NONE)) {
      inspection = new MachineInspection();
    }
    inspection.begin();
    return inspection;
  }

  /** Returns the time of the last heartbeat, in milliseconds of the steady clock. */
  long lastHeartbeatMs() {
    return lastHeartbeatMs;
  }

  /**
   * Records the time at which a response that renews the worker's lease is sent, in milliseconds of
   * the steady clock.
   */
  void recordResponse(long atMs) {
    lastResponseMs = atMs;
  }

  /**
   * Returns the time of the last response, in milliseconds of the steady clock. The worker's lease
   * is counted from that time at the latest.
   */
  long lastResponseMs() {
    return lastResponseMs;
  }

  /**
   * Returns the latest time at which any controller may have answered the worker, unless {@link
   * #formerLeaderMayAnswer}, in milliseconds of the steady clock.
   */
  long lastRenewalMs() {
    return Math.max(lastResponseMs, releasedByOthersMs);
  }

  /** Records that the worker's lease has expired, so that no task is left on the machine. */
  void expireLease(long now) {
    leaseExpired = true;
    tokenAcknowledged = true;
    tasks.clear(now);
    commands.endSession();
    published.markChanged();
  }

  /** Returns whether the worker's lease has expired and no heartbeat has been received since. */
  boolean leaseExpired() {
    return leaseExpired;
  }

  /** Returns whether the cloud has announced that it will take the machine. */
  boolean terminationAnnounced() {
    return terminationDeadlineMs != Long.MAX_VALUE;
  }

  /**
   * Returns the time at which the cloud will take the machine, in milliseconds of the steady clock,
   * or {@code Long.MAX_VALUE} if none is announced.
   */
  long terminationDeadlineMs() {
    return terminationDeadlineMs;
  }

  /**
   * Excludes the machine from new tasks, since it is to be returned, until the given time in
   * milliseconds of the steady clock.
   */
  void drainUntil(long untilMs) {
    drainUntilMs = untilMs;
  }

  boolean draining(long now) {
    return drainUntilMs > now;
  }
}
