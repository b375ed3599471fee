package mallowstall.core.api;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import mallowstall.core.kernel.EventClock;
import mallowstall.core.kernel.GetResult;
import mallowstall.core.kernel.ResultCode;
import mallowstall.core.kv.RequestPriority;
import mallowstall.core.kv.StateKeys;
import mallowstall.core.kv.StateStore;
import mallowstall.core.model.JobEntry;

/**
 * Reads entries of jobs for users' requests: no read begins before the request, and none that took
 * longer than {@link AnswerValidity#VALID_MS} counts. Thread: the event loop's.
 */
final class FreshJobReader {
  private final EventClock clock;
  private final StateStore store;
  private final AcceptanceLookup acceptances;

  /** Who waits for a read that has not been sent yet, by job. */
  private final Map<String, List<Consumer<JobRead>>> pendingReads = new HashMap<>();

  FreshJobReader(EventClock clock, StateStore store, AcceptanceLookup acceptances) {
    this.clock = clock;
    this.store = store;
    this.acceptances = acceptances;
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
            result -> handleResult(id, result, requestedAtMs, callbacks));
    if (!queued) {
      complete(callbacks, JobRead.UNAVAILABLE);
    }
  }

  private void handleResult(
      String id, GetResult result, long requestedAtMs, List<Consumer<JobRead>> callbacks) {
    long validUntilMs = requestedAtMs + AnswerValidity.VALID_MS;
    // A process that stood still since would report a finished job as running again.
    if (clock.now() > validUntilMs || result.code() != ResultCode.OK) {
      complete(callbacks, JobRead.UNAVAILABLE);
      return;
    }
    if (result.item().value() != null) {
      JobEntry job = (JobEntry) result.item().value();
      complete(callbacks, JobRead.found(job, result.item().modRevision(), validUntilMs));
      return;
    }
    acceptances.lookUp(
        id, validUntilMs, absence -> complete(callbacks, withoutEntry(id, absence, validUntilMs)));
  }

  /** What the replica shows was accepted after the read was made, since jobs are never deleted. */
  private JobRead withoutEntry(String id, AcceptanceLookup.Absence absence, long validUntilMs) {
    JobEntry known = store.job(id);
    if (known != null && clock.now() <= validUntilMs) {
      return JobRead.found(known, store.modRevision(StateKeys.job(id)), validUntilMs);
    }
    return confirmedAbsence(id, absence, validUntilMs);
  }

  /**
   * Finds out without the state service whether the job was never accepted, and finds no entry.
   * Whoever has called it accepted has its entry in the replica; so has a successor whose replica
   * is complete, as this one's must be.
   */
  void confirmAbsence(String id, Consumer<JobRead> callback) {
    long validUntilMs = clock.now() + AnswerValidity.VALID_MS;
    acceptances.lookUp(
        id, validUntilMs, absence -> callback.accept(confirmedAbsence(id, absence, validUntilMs)));
  }

  private JobRead confirmedAbsence(String id, AcceptanceLookup.Absence absence, long validUntilMs) {
    boolean neverAccepted = store.job(id) == null && absence == AcceptanceLookup.Absence.CONFIRMED;
    return neverAccepted ? JobRead.notFound(validUntilMs) : JobRead.UNCONFIRMED;
  }

  private static void complete(List<Consumer<JobRead>> callbacks, JobRead read) {
    callbacks.forEach(callback -> callback.accept(read));
  }
}
