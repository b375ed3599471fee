package mallowstall.core.api;

import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import mallowstall.core.cluster.ClusterVersion;
import mallowstall.core.cluster.MachineTypeCatalog;
import mallowstall.core.kernel.Condition;
import mallowstall.core.kernel.EventClock;
import mallowstall.core.kernel.PutOperation;
import mallowstall.core.kernel.ResultCode;
import mallowstall.core.kernel.Transaction;
import mallowstall.core.kv.JobBitmaps;
import mallowstall.core.kv.RequestPriority;
import mallowstall.core.kv.StateKeys;
import mallowstall.core.kv.StateStore;
import mallowstall.core.model.ApiResponse;
import mallowstall.core.model.CoreSettings;
import mallowstall.core.model.JobEntry;
import mallowstall.core.model.JobSpec;

/**
 * Handles submissions. A job is reported as accepted once its entry is written. A submission is
 * rejected only if no controller has reported the job as accepted. Confined to the event loop.
 */
final class JobSubmission {
  private final EventClock clock;
  private final CoreSettings settings;
  private final StateStore store;
  private final JobBitmaps jobBitmaps;
  private final MachineTypeCatalog types;
  private final ClusterVersion clusterVersion;
  private final AbsenceLeases absenceLeases;
  private final FreshJobReader reader;
  private final JobResponder responder;
  private final BiConsumer<String, Consumer<ApiResponse>> query;
  private final SchedulabilityCheck schedulability;

  /** Creates the handler; {@code query} responds with the state of a job that is known already. */
  JobSubmission(
      EventClock clock,
      CoreSettings settings,
      StateStore store,
      JobBitmaps jobBitmaps,
      MachineTypeCatalog types,
      ClusterVersion clusterVersion,
      AbsenceLeases absenceLeases,
      FreshJobReader reader,
      JobResponder responder,
      BiConsumer<String, Consumer<ApiResponse>> query) {
    this.clock = clock;
    this.settings = settings;
    this.store = store;
    this.jobBitmaps = jobBitmaps;
    this.types = types;
    this.clusterVersion = clusterVersion;
    this.absenceLeases = absenceLeases;
    this.reader = reader;
    this.responder = responder;
    this.query = query;
    schedulability = new SchedulabilityCheck(settings, types);
  }

  /**
   * Accepts a submission once its entry is written, or responds with the reason for not accepting
   * it.
   */
  void submit(JobSpec spec, Consumer<ApiResponse> reply) {
    String id = spec.id();
    if (store.job(id) != null) {
      query.accept(id, reply);
      return;
    }
    JobEntry job =
        JobEntry.newlyAccepted(spec, clock.wallClockMs(), settings.node(), store.incarnation());
    if (!jobBitmaps.fitsAtLargest(job)) {
      reject(id, ApiResponse.invalid("the description is too large"), reply);
      return;
    }
    if (types.isEmpty()) {
      reply.accept(responder.unavailable("the machine types are not known yet"));
      return;
    }
    Optional<String> unschedulable = schedulability.rejectionReason(spec);
    if (unschedulable.isPresent()) {
      reject(id, ApiResponse.unschedulable(unschedulable.get()), reply);
      return;
    }
    if (!store.synced() || !store.isSessionValid()) {
      reply.accept(responder.withoutStateService());
      return;
    }
    if (spec.isService() && !clusterVersion.allowsServices()) {
      reject(id, responder.unavailable("a controller runs a version without services"), reply);
      return;
    }
    record(job, reply);
  }

  private void record(JobEntry job, Consumer<ApiResponse> reply) {
    String id = job.spec().id();
    String key = StateKeys.job(id);
    long validUntilMs = clock.now() + AnswerValidity.VALID_MS;
    Transaction creation =
        new Transaction(
            List.of(new Condition(key, 0)), List.of(new PutOperation(key, job, 0)), List.of());
    absenceLeases.submissionBegun(id);
    boolean queued =
        store.transact(
            RequestPriority.USER,
            creation,
            result -> recorded(id, result.code(), validUntilMs, reply));
    if (!queued) {
      absenceLeases.submissionEnded(id);
      reply.accept(responder.unavailable(JobApi.QUEUE_FULL));
    }
  }

  private void recorded(
      String id, ResultCode code, long validUntilMs, Consumer<ApiResponse> reply) {
    absenceLeases.submissionEnded(id);
    if (code == ResultCode.CONFLICT) {
      query.accept(id, reply);
    } else if (code != ResultCode.OK) {
      reply.accept(responder.unavailable("the job could not be recorded"));
    } else if (clock.now() > validUntilMs) {
      // The job may have ended, and a read would be too late as well, so the user has to retry.
      reply.accept(responder.unavailable("recorded late, ask again"));
    } else {
      // The replica holds the entry that was written, and perhaps the job's outcome already.
      responder.respondAccepted(store.job(id), validUntilMs, reply);
    }
  }

  /**
   * Rejects a submission. If it repeats the submission of a job that was accepted, perhaps by a
   * controller of another version, the response is the job's state instead.
   */
  void reject(String id, ApiResponse rejection, Consumer<ApiResponse> reply) {
    if (store.job(id) != null) {
      query.accept(id, reply);
    } else if (!store.synced()) {
      // A former process of this controller may have accepted the job; peers may not know of that.
      boolean hasNoPeers = settings.peers().isEmpty();
      reply.accept(hasNoPeers ? rejection : responder.withoutStateService());
    } else if (clock.now() - store.lastContactMs() > AnswerValidity.VALID_MS) {
      reader.confirmAbsence(id, read -> responder.respondWithoutEntry(id, read, rejection, reply));
    } else {
      reader.read(id, read -> respondUnlessFound(id, read, rejection, reply));
    }
  }

  private void respondUnlessFound(
      String id, JobRead read, ApiResponse rejection, Consumer<ApiResponse> reply) {
    if (read.status() == JobRead.Status.FOUND) {
      responder.respondWithState(read.job(), read.validUntilMs(), reply);
    } else {
      responder.respondWithoutEntry(id, read, rejection, reply);
    }
  }
}
