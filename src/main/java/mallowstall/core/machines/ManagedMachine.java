package mallowstall.core.machines;

import it.unimi.dsi.fastutil.objects.Object2LongOpenHashMap;
import it.unimi.dsi.fastutil.objects.Object2ObjectLinkedOpenHashMap;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import mallowstall.core.model.JobSpec;
import mallowstall.core.model.MachineStatus;
import mallowstall.core.model.MachineType;
import mallowstall.core.model.StartRequest;
import mallowstall.core.model.StopRequest;
import mallowstall.core.model.TaskAttempt;
import mallowstall.core.model.TaskKey;
import mallowstall.core.model.TaskReport;

/** One machine of this controller. Mutable. */
final class ManagedMachine {
  /** A start accepted and not yet seen in a report. */
  static final class Reservation {
    final StartRequest request;
    final JobSpec spec;
    boolean sent;

    Reservation(StartRequest request, JobSpec spec) {
      this.request = request;
      this.spec = spec;
    }
  }

  private final String id;
  private final MachineType type;
  private final String zone;
  private final boolean spot;
  private long fencingToken;
  private long modRevision;
  private String address;
  private long workerSession;
  private long latestHeartbeatSequence;

  /** When the last 200 left; the machine's lease can't run on longer than from here. */
  private long lastResponseMs;

  private long lastHeartbeatMs;
  private boolean tokenAcknowledged;
  private boolean leaseExpired;
  private long terminationDeadlineMs = Long.MAX_VALUE;
  private long drainUntilMs;
  private long quarantineUntilMs;
  private int consecutiveErrors;
  private boolean faulty;
  private long idleSinceMs;
  private final Map<TaskAttempt, TaskReport> tasks = new LinkedHashMap<>();
  private final Map<TaskKey, Reservation> reservations = new Object2ObjectLinkedOpenHashMap<>();
  private final Map<TaskKey, StopRequest> pendingStops = new HashMap<>();

  /**
   * Tasks stopped for others that were accepted in their place. Their stop goes out before or with
   * any start that follows, so their room counts as free.
   */
  private final Set<TaskAttempt> preempted = new HashSet<>();

  /** Ends other than done that a roster has told. */
  private final Object2LongOpenHashMap<TaskKey> publishedExits = new Object2LongOpenHashMap<>();

  /**
   * Starts sent to the worker's own address whose outcome is open. Until the answer is there, or
   * the worker shows a larger term, they may be executed at any time: they count as possibly
   * running, and their attempts are not forgotten, since a late copy would start them again.
   */
  private final Map<TaskKey, Long> unacknowledgedStarts = new HashMap<>();

  private boolean commandInFlight;
  private boolean commandOutcomeUnknown;
  private boolean tokenWriteInFlight;

  /** Somebody else may have answered it after this controller's former process had ended. */
  private boolean interveningLeader;

  /** Taken over from this controller's own former process, which is dead. */
  private boolean recovered;

  /** The term was raised after the last start went astray. */
  private boolean tokenRaised;

  private long commandSentAtMs;

  private final LinkedHashSet<String> cachedImages = new LinkedHashSet<>();

  /** The newest report handled; an answer of a direct command may be newer. */
  private long handledHeartbeatSequence;

  /** Something that statements tell may have changed since the last one. */
  private boolean statusChanged;

  /** What the last statement said of it, in which, and when. */
  private MachineStatus publishedStatus;

  private long publishedUpdateNumber;
  private long publishedAtMs;

  ManagedMachine(
      String id, MachineType type, String zone, boolean spot, long fencingToken, long modRevision) {
    this.id = id;
    this.type = type;
    this.zone = zone;
    this.spot = spot;
    this.fencingToken = fencingToken;
    this.modRevision = modRevision;
  }

  /** Whether any attempt of the task is here, or a start of it was accepted. */
  boolean hasTask(TaskKey key) {
    if (reservations.containsKey(key)) {
      return true;
    }
    for (TaskAttempt attempt : tasks.keySet()) {
      if (attempt.key().equals(key)) {
        return true;
      }
    }
    return false;
  }

  /** Whether nothing is here and nothing was accepted. */
  boolean idle() {
    return tasks.isEmpty() && reservations.isEmpty();
  }

  /** The outcome of all commands that went to the worker's own address is known. */
  void clearUnacknowledgedStarts() {
    unacknowledgedStarts.clear();
    commandOutcomeUnknown = false;
    tokenRaised = false;
  }

  /** The worker's lease is over: nothing is left on the machine. */
  void expireLease(long now) {
    leaseExpired = true;
    tokenAcknowledged = true;
    tasks.clear();
    reservations.clear();
    pendingStops.clear();
    preempted.clear();
    clearUnacknowledgedStarts();
    idleSinceMs = now;
    statusChanged = true;
  }

  /** The image is there: it becomes the newest, and what no longer fits the cache is forgotten. */
  void cacheImage(String image, ToDoubleFunction<String> sizeGb) {
    if (image == null) {
      return;
    }
    cachedImages.remove(image);
    cachedImages.add(image);
    List<String> newestFirst = new ArrayList<>(cachedImages);
    Collections.reverse(newestFirst);
    double totalGb = 0;
    for (String cached : newestFirst) {
      totalGb += sizeGb.applyAsDouble(cached);
      if (totalGb > type.cacheGb() && !cached.equals(image)) {
        cachedImages.remove(cached);
      }
    }
  }

  /** The id. */
  String id() {
    return id;
  }

  /** The type. */
  MachineType type() {
    return type;
  }

  /** The zone. */
  String zone() {
    return zone;
  }

  /** The spot. */
  boolean spot() {
    return spot;
  }

  /** The fencing token. */
  long fencingToken() {
    return fencingToken;
  }

  /** Sets the fencing token. */
  void setFencingToken(long newValue) {
    this.fencingToken = newValue;
  }

  /** The mod revision. */
  long modRevision() {
    return modRevision;
  }

  /** Sets the mod revision. */
  void setModRevision(long newValue) {
    this.modRevision = newValue;
  }

  /** The address. */
  String address() {
    return address;
  }

  /** Sets the address. */
  void setAddress(String newValue) {
    this.address = newValue;
  }

  /** The worker session. */
  long workerSession() {
    return workerSession;
  }

  /** Sets the worker session. */
  void setWorkerSession(long newValue) {
    this.workerSession = newValue;
  }

  /** The latest heartbeat sequence. */
  long latestHeartbeatSequence() {
    return latestHeartbeatSequence;
  }

  /** Sets the latest heartbeat sequence. */
  void setLatestHeartbeatSequence(long newValue) {
    this.latestHeartbeatSequence = newValue;
  }

  /** When the last 200 left; the machine's lease can't run on longer than from here. */
  long lastResponseMs() {
    return lastResponseMs;
  }

  /** Sets the last response, in ms of the steady clock. */
  void setLastResponseMs(long newValue) {
    this.lastResponseMs = newValue;
  }

  /** The last heartbeat, in ms of the steady clock. */
  long lastHeartbeatMs() {
    return lastHeartbeatMs;
  }

  /** Sets the last heartbeat, in ms of the steady clock. */
  void setLastHeartbeatMs(long newValue) {
    this.lastHeartbeatMs = newValue;
  }

  /** The token acknowledged. */
  boolean tokenAcknowledged() {
    return tokenAcknowledged;
  }

  /** Sets the token acknowledged. */
  void setTokenAcknowledged(boolean newValue) {
    this.tokenAcknowledged = newValue;
  }

  /** The lease expired. */
  boolean leaseExpired() {
    return leaseExpired;
  }

  /** Sets the lease expired. */
  void setLeaseExpired(boolean newValue) {
    this.leaseExpired = newValue;
  }

  /** The termination deadline, in ms of the steady clock. */
  long terminationDeadlineMs() {
    return terminationDeadlineMs;
  }

  /** Sets the termination deadline, in ms of the steady clock. */
  void setTerminationDeadlineMs(long newValue) {
    this.terminationDeadlineMs = newValue;
  }

  /** The drain until, in ms of the steady clock. */
  long drainUntilMs() {
    return drainUntilMs;
  }

  /** Sets the drain until, in ms of the steady clock. */
  void setDrainUntilMs(long newValue) {
    this.drainUntilMs = newValue;
  }

  /** The quarantine until, in ms of the steady clock. */
  long quarantineUntilMs() {
    return quarantineUntilMs;
  }

  /** Sets the quarantine until, in ms of the steady clock. */
  void setQuarantineUntilMs(long newValue) {
    this.quarantineUntilMs = newValue;
  }

  /** Counts one more task that failed here since the last that was done. */
  void recordError() {
    consecutiveErrors++;
  }

  /** The consecutive errors. */
  int consecutiveErrors() {
    return consecutiveErrors;
  }

  /** Sets the consecutive errors. */
  void setConsecutiveErrors(int newValue) {
    this.consecutiveErrors = newValue;
  }

  /** The faulty. */
  boolean faulty() {
    return faulty;
  }

  /** Sets the faulty. */
  void setFaulty(boolean newValue) {
    this.faulty = newValue;
  }

  /** The idle since, in ms of the steady clock. */
  long idleSinceMs() {
    return idleSinceMs;
  }

  /** Sets the idle since, in ms of the steady clock. */
  void setIdleSinceMs(long newValue) {
    this.idleSinceMs = newValue;
  }

  /** The tasks. */
  Map<TaskAttempt, TaskReport> tasks() {
    return tasks;
  }

  /** The reservations. */
  Map<TaskKey, Reservation> reservations() {
    return reservations;
  }

  /** The pending stops. */
  Map<TaskKey, StopRequest> pendingStops() {
    return pendingStops;
  }

  /**
   * Tasks stopped for others that were accepted in their place. Their stop goes out before or with
   * any start that follows, so their room counts as free.
   */
  Set<TaskAttempt> preempted() {
    return preempted;
  }

  /** Ends other than done that a roster has told. */
  Object2LongOpenHashMap<TaskKey> publishedExits() {
    return publishedExits;
  }

  /**
   * Starts sent to the worker's own address whose outcome is open. Until the answer is there, or
   * the worker shows a larger term, they may be executed at any time: they count as possibly
   * running, and their attempts are not forgotten, since a late copy would start them again.
   */
  Map<TaskKey, Long> unacknowledgedStarts() {
    return unacknowledgedStarts;
  }

  /** The command in flight. */
  boolean commandInFlight() {
    return commandInFlight;
  }

  /** Sets the command in flight. */
  void setCommandInFlight(boolean newValue) {
    this.commandInFlight = newValue;
  }

  /** The command outcome unknown. */
  boolean commandOutcomeUnknown() {
    return commandOutcomeUnknown;
  }

  /** Sets the command outcome unknown. */
  void setCommandOutcomeUnknown(boolean newValue) {
    this.commandOutcomeUnknown = newValue;
  }

  /** The token write in flight. */
  boolean tokenWriteInFlight() {
    return tokenWriteInFlight;
  }

  /** Sets the token write in flight. */
  void setTokenWriteInFlight(boolean newValue) {
    this.tokenWriteInFlight = newValue;
  }

  /** Somebody else may have answered it after this controller's former process had ended. */
  boolean interveningLeader() {
    return interveningLeader;
  }

  /** Sets the intervening leader. */
  void setInterveningLeader(boolean newValue) {
    this.interveningLeader = newValue;
  }

  /** Taken over from this controller's own former process, which is dead. */
  boolean recovered() {
    return recovered;
  }

  /** Sets the recovered. */
  void setRecovered(boolean newValue) {
    this.recovered = newValue;
  }

  /** The term was raised after the last start went astray. */
  boolean tokenRaised() {
    return tokenRaised;
  }

  /** Sets the token raised. */
  void setTokenRaised(boolean newValue) {
    this.tokenRaised = newValue;
  }

  /** The command sent at, in ms of the steady clock. */
  long commandSentAtMs() {
    return commandSentAtMs;
  }

  /** Sets the command sent at, in ms of the steady clock. */
  void setCommandSentAtMs(long newValue) {
    this.commandSentAtMs = newValue;
  }

  /** The cached images. */
  LinkedHashSet<String> cachedImages() {
    return cachedImages;
  }

  /** The newest report handled; an answer of a direct command may be newer. */
  long handledHeartbeatSequence() {
    return handledHeartbeatSequence;
  }

  /** Sets the handled heartbeat sequence. */
  void setHandledHeartbeatSequence(long newValue) {
    this.handledHeartbeatSequence = newValue;
  }

  /** Something that statements tell may have changed since the last one. */
  boolean statusChanged() {
    return statusChanged;
  }

  /** Sets the status changed. */
  void setStatusChanged(boolean newValue) {
    this.statusChanged = newValue;
  }

  /** What the last statement said of it, in which, and when. */
  MachineStatus publishedStatus() {
    return publishedStatus;
  }

  /** Sets the published status. */
  void setPublishedStatus(MachineStatus newValue) {
    this.publishedStatus = newValue;
  }

  /** The published update number. */
  long publishedUpdateNumber() {
    return publishedUpdateNumber;
  }

  /** Sets the published update number. */
  void setPublishedUpdateNumber(long newValue) {
    this.publishedUpdateNumber = newValue;
  }

  /** The published at, in ms of the steady clock. */
  long publishedAtMs() {
    return publishedAtMs;
  }

  /** Sets the published at, in ms of the steady clock. */
  void setPublishedAtMs(long newValue) {
    this.publishedAtMs = newValue;
  }
}
