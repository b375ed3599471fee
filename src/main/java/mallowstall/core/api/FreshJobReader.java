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
 * Reads entries of jobs for users' requests. No read is sent before its request has arrived. The
 * result of a read that took longer than {@link AnswerValidity#VALID_MS} is discarded. Confined to
 * the event loop.
 */
final class FreshJobReader {
  private final EventClock clock;
  private final StateStore store;
  private final AcceptanceLookup acceptances;

  /** Callbacks that wait for a read that has not been sent yet, by job. */
  private final Map<String, List<Consumer<JobRead>>> pendingReads = new HashMap<>();

  FreshJobReader(EventClock clock, StateStore store, AcceptanceLookup acceptances) {
    this.clock = clock;
    this.store = store;
    this.acceptances = acceptances;
  }

  /**
   * Reads the job's entry. Requests for one job that arrive before its read is sent share the read.
   */
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
    // If this process was suspended meanwhile, another controller may have reported the job as
    // finished. This controller would then report it as running again.
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
        id,
        validUntilMs,
        absence -> complete(callbacks, resultWithoutEntry(id, absence, validUntilMs)));
  }

  /**
   * Returns the result of a read that found no entry. If the replica holds the entry, the job was
   * accepted after the read, since jobs are never deleted.
   */
  private JobRead resultWithoutEntry(
      String id, AcceptanceLookup.Absence absence, long validUntilMs) {
    JobEntry known = store.job(id);
    if (known != null && clock.now() <= validUntilMs) {
      return JobRead.found(known, store.modRevision(StateKeys.job(id)), validUntilMs);
    }
    return resultOfAbsence(id, absence, validUntilMs);
  }

  /**
   * Determines without the state service whether the job was never accepted, and never finds an
   * entry. A controller that has reported the job as accepted has its entry in the replica. Its
   * successor process has the entry once its replica is complete. The replica of this controller
   * must be complete, too.
   */
  void confirmAbsence(String id, Consumer<JobRead> callback) {
    long validUntilMs = clock.now() + AnswerValidity.VALID_MS;
    acceptances.lookUp(
        id, validUntilMs, absence -> callback.accept(resultOfAbsence(id, absence, validUntilMs)));
  }

  private JobRead resultOfAbsence(String id, AcceptanceLookup.Absence absence, long validUntilMs) {
    boolean neverAccepted = store.job(id) == null && absence == AcceptanceLookup.Absence.CONFIRMED;
    return neverAccepted ? JobRead.notFound(validUntilMs) : JobRead.UNCONFIRMED;
  }

  private static void complete(List<Consumer<JobRead>> callbacks, JobRead read) {
    callbacks.forEach(callback -> callback.accept(read));
  }
}
