package mallowstall.core.api;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import mallowstall.Constants;
import mallowstall.core.kernel.EventClock;
import mallowstall.core.kernel.GetResult;
import mallowstall.core.kernel.ResultCode;
import mallowstall.core.kv.RequestPriority;
import mallowstall.core.kv.StateKeys;
import mallowstall.core.kv.StateStore;
import mallowstall.core.model.JobEntry;

/**
 * Reads entries of jobs for users' requests: no read begins before the request, and none that took
 * longer than {@link Constants#READ_MAX_AGE_MS} counts. Thread: the event loop's.
 */
final class FreshJobReader {
  private final EventClock clock;
  private final StateStore store;

  /** Who waits for a read that has not been sent yet, by job. */
  private final Map<String, List<Consumer<JobRead>>> pendingReads = new HashMap<>();

  FreshJobReader(EventClock clock, StateStore store) {
    this.clock = clock;
    this.store = store;
  }

  /** Reads the job's entry; requests about one job that come before its read is sent share it. */
  void read(String id, Consumer<JobRead> callback) {
    List<Consumer<JobRead>> joined = pendingReads.get(id);
    if (joined != null) {
      joined.add(callback);
      return;
    }
    List<Consumer<JobRead>> callbacks = new ArrayList<>();
    callbacks.add(callback);
    pendingReads.put(id, callbacks);
    long requestedAtMs = clock.now();
    clock.schedule(0, () -> send(id, requestedAtMs, callbacks));
  }

  private void send(String id, long requestedAtMs, List<Consumer<JobRead>> callbacks) {
    pendingReads.remove(id);
    boolean queued =
        store.read(
            RequestPriority.USER,
            StateKeys.job(id),
            result -> complete(callbacks, toJobRead(id, result, requestedAtMs)));
    if (!queued) {
      complete(callbacks, JobRead.UNAVAILABLE);
    }
  }

  private JobRead toJobRead(String id, GetResult result, long requestedAtMs) {
    // A process that stood still since would report a finished job as running again.
    boolean stale = clock.now() - requestedAtMs > Constants.READ_MAX_AGE_MS;
    if (stale || result.code() != ResultCode.OK) {
      return JobRead.UNAVAILABLE;
    }
    return result.item().value() == null
        ? notFound(id)
        : JobRead.found((JobEntry) result.item().value(), result.item().modRevision());
  }

  /** Jobs are never deleted: one that the replica shows was accepted after the read was made. */
  private JobRead notFound(String id) {
    JobEntry known = store.job(id);
    return known == null
        ? JobRead.NOT_FOUND
        : JobRead.found(known, store.modRevision(StateKeys.job(id)));
  }

  private static void complete(List<Consumer<JobRead>> callbacks, JobRead read) {
    callbacks.forEach(callback -> callback.accept(read));
  }
}
