package mallowstall.core.machines;

import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import mallowstall.core.model.TaskAttempt;

/**
 * The images that a machine fetches, and how early each fetch may have begun. A machine fetches an
 * image once for all tasks that need it, so none of them runs before the fetch can have ended, even
 * if the machine isn't heard. Times are in milliseconds of the steady clock. Mutable.
 */
final class ImageFetches {
  private static final long UNKNOWN = Long.MIN_VALUE / 2;

  /**
   * The largest factor by which a fetch may be faster than the machine type's stated rate: a third
   * (protocol, GET /flavors), and a tenth for machines that are faster than others.
   */
  private static final double RATE_FACTOR_MAX = 4.0 / 3 * 1.1;

  /** The fetches that the last report shows, by image. */
  private Map<String, Fetch> fetches = Map.of();

  /** Whether the last report tells of every image whether it is being fetched. */
  private boolean complete;

  /** A time at or after which the worker composed one of the reports up to the last one. */
  private long composedSinceMs = UNKNOWN;

  /**
   * A fetch of one image.
   *
   * @param begunSinceMs the earliest time at which it may have begun
   * @param waiting the attempts that waited for the image in the worker's last heartbeat
   * @param confirmed whether the image was certainly absent in one of the reports. A start may be
   *     reported as fetching for an instant even if the machine has the image, but not for the half
   *     second that lies between two heartbeats
   */
  private record Fetch(long begunSinceMs, Set<TaskAttempt> waiting, boolean confirmed) {
    Fetch next(Set<TaskAttempt> nowWaiting, boolean isHeartbeat) {
      if (!isHeartbeat) {
        return this;
      }
      boolean stillWaits = !Collections.disjoint(waiting, nowWaiting);
      return new Fetch(begunSinceMs, nowWaiting, confirmed || stillWaits);
    }
  }

  /**
   * Takes in a report that is newer than those before.
   *
   * @param waiting the attempts that wait for their image, by image
   * @param isComplete whether the image of each waiting attempt is known
   * @param isHeartbeat whether the worker sent the report by itself
   */
  void record(Map<String, Set<TaskAttempt>> waiting, boolean isComplete, boolean isHeartbeat) {
    complete = isComplete;
    if (waiting.isEmpty()) {
      fetches = Map.of(); // most of thousands of machines fetch nothing
      return;
    }
    Map<String, Fetch> next = new HashMap<>();
    waiting.forEach(
        (image, attempts) -> {
          Fetch known = fetches.getOrDefault(image, new Fetch(composedSinceMs, Set.of(), false));
          next.put(image, known.next(attempts, isHeartbeat));
        });
    fetches = next;
  }

  /** Records that the worker composed the last report at this time or later. */
  void recordComposed(long sinceMs) {
    if (complete) {
      composedSinceMs = Math.max(composedSinceMs, sinceMs);
    }
  }

  /**
   * Returns a time before which no task with this image can run on the machine, or a time far in
   * the past if none is known.
   *
   * @param gigabytesPerSecond the rate that the machine type states
   */
  long absentUntilMs(String image, double gigabytes, double gigabytesPerSecond) {
    Fetch fetch = fetches.get(image);
    if (fetch == null || !fetch.confirmed() || gigabytesPerSecond <= 0) {
      return UNKNOWN;
    }
    return fetch.begunSinceMs()
        + (long) (gigabytes / (gigabytesPerSecond * RATE_FACTOR_MAX) * 1_000);
  }
}
