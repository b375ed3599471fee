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

  final String id;
  final MachineType type;
  final String zone;
  final boolean spot;
  long fencingToken;
  long modRevision;
  String address;
  long workerSession;
  long latestHeartbeatSequence;

  /** When the last 200 left; the machine's lease can't run on longer than from here. */
  long lastResponseMs;

  long lastHeartbeatMs;
  boolean tokenAcknowledged;
  boolean leaseExpired;
  long terminationDeadlineMs = Long.MAX_VALUE;
  long drainUntilMs;
  long quarantineUntilMs;
  int consecutiveErrors;
  boolean faulty;
  long idleSinceMs;
  final Map<TaskAttempt, TaskReport> tasks = new LinkedHashMap<>();
  final Map<TaskKey, Reservation> reservations = new Object2ObjectLinkedOpenHashMap<>();
  final Map<TaskKey, StopRequest> pendingStops = new HashMap<>();

  /**
   * Tasks stopped for others that were accepted in their place. Their stop goes out before or with
   * any start that follows, so their room counts as free.
   */
  final Set<TaskAttempt> preempted = new HashSet<>();

  /** Ends other than done that a roster has told. */
  final Object2LongOpenHashMap<TaskKey> publishedExits = new Object2LongOpenHashMap<>();

  /**
   * Starts sent to the worker's own address whose outcome is open. Until the answer is there, or
   * the worker shows a larger term, they may be executed at any time: they count as possibly
   * running, and their attempts are not forgotten, since a late copy would start them again.
   */
  final Map<TaskKey, Long> unacknowledgedStarts = new HashMap<>();

  boolean commandInFlight;
  boolean commandOutcomeUnknown;
  boolean tokenWriteInFlight;

  /** Somebody else may have answered it after this controller's former process had ended. */
  boolean interveningLeader;

  /** Taken over from this controller's own former process, which is dead. */
  boolean recovered;

  /** The term was raised after the last start went astray. */
  boolean tokenRaised;

  long commandSentAtMs;

  final LinkedHashSet<String> cachedImages = new LinkedHashSet<>();

  /** The newest report handled; an answer of a direct command may be newer. */
  long handledHeartbeatSequence;

  /** Something that statements tell may have changed since the last one. */
  boolean statusChanged;

  /** What the last statement said of it, in which, and when. */
  MachineStatus publishedStatus;

  long publishedUpdateNumber;
  long publishedAtMs;

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
}
