package mallowstall.core;

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
import mallowstall.core.Model.JobSpec;
import mallowstall.core.Model.MachineType;
import mallowstall.core.Model.RosterMachine;
import mallowstall.core.Model.StartOrder;
import mallowstall.core.Model.StopOrder;
import mallowstall.core.Model.TaskReport;

/** One machine of this controller. Mutable. */
final class OwnedMachine {
  /** A start accepted and not yet seen in a report. */
  static final class Reservation {
    final StartOrder order;
    final JobSpec spec;
    boolean sent;

    Reservation(StartOrder order, JobSpec spec) {
      this.order = order;
      this.spec = spec;
    }
  }

  final String id;
  final MachineType type;
  final String zone;
  final boolean spot;
  long term;
  long version;
  String address;
  long session;
  long newestReport;

  /** When the last 200 left; the machine's lease can't run on longer than from here. */
  long answeredAt;

  long heardAt;
  boolean confirmed;
  boolean lost;
  long noticeUntil = Long.MAX_VALUE;
  long drainUntil;
  long quarantineUntil;
  int errorsInRow;
  boolean faulty;
  long idleSince;
  final Map<TaskAttempt, TaskReport> tasks = new LinkedHashMap<>();
  final Map<TaskKey, Reservation> reservations = new Object2ObjectLinkedOpenHashMap<>();
  final Map<TaskKey, StopOrder> stops = new HashMap<>();

  /**
   * Tasks stopped for others that were accepted in their place. Their stop goes out before or with
   * any start that follows, so their room counts as free.
   */
  final Set<TaskAttempt> replaced = new HashSet<>();

  /** Ends other than done that a roster has told. */
  final Object2LongOpenHashMap<TaskKey> announcedEnds = new Object2LongOpenHashMap<>();

  /**
   * Starts sent to the worker's own address whose outcome is open. Until the answer is there, or
   * the worker shows a larger term, they may be executed at any time: they count as possibly
   * running, and their attempts are not forgotten, since a late copy would start them again.
   */
  final Map<TaskKey, Long> openStarts = new HashMap<>();

  boolean commandOpen;
  boolean commandLost;
  boolean termChanging;

  /** Somebody else may have answered it after this controller's former process had ended. */
  boolean disputed;

  /** Taken over from this controller's own former process, which is dead. */
  boolean reclaimed;

  /** The term was raised after the last start went astray. */
  boolean termRaised;

  long commandSentAt;

  final LinkedHashSet<String> images = new LinkedHashSet<>();

  /** The newest report handled; an answer of a direct command may be newer. */
  long handledReport;

  /** Something that statements tell may have changed since the last one. */
  boolean changed;

  /** What the last statement said of it, in which, and when. */
  RosterMachine published;

  long publishedSerial;
  long publishedAt;

  OwnedMachine(String id, MachineType type, String zone, boolean spot, long token, long version) {
    this.id = id;
    this.type = type;
    this.zone = zone;
    this.spot = spot;
    this.term = token;
    this.version = version;
  }

  /** Whether any attempt of the task is here, or a start of it was accepted. */
  boolean holds(TaskKey key) {
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
  void clearOpenStarts() {
    openStarts.clear();
    commandLost = false;
    termRaised = false;
  }

  /** The worker's lease is over: nothing is left on the machine. */
  void writeOff(long now) {
    lost = true;
    confirmed = true;
    tasks.clear();
    reservations.clear();
    stops.clear();
    replaced.clear();
    clearOpenStarts();
    idleSince = now;
    changed = true;
  }

  /** The image is there: it becomes the newest, and what no longer fits the cache is forgotten. */
  void cacheImage(String image, ToDoubleFunction<String> sizeGb) {
    if (image == null) {
      return;
    }
    images.remove(image);
    images.add(image);
    List<String> newestFirst = new ArrayList<>(images);
    Collections.reverse(newestFirst);
    double sum = 0;
    for (String other : newestFirst) {
      sum += sizeGb.applyAsDouble(other);
      if (sum > type.cacheGb() && !other.equals(image)) {
        images.remove(other);
      }
    }
  }
}
