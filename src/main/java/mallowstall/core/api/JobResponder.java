package mallowstall.core.api;

import java.util.function.Consumer;
import mallowstall.core.cluster.CancellationExchange;
import mallowstall.core.kv.StateStore;
import mallowstall.core.model.ApiResponse;
import mallowstall.core.model.JobEntry;
import mallowstall.core.model.JobOutcome;
import mallowstall.core.model.RunObservation;

/**
 * Responds to requests about a job with its state or with an error. The state is that of the entry
 * as read, or a newer outcome that is known here. Whether tasks of an open job are running is
 * determined for each response. A response that another controller may soon contradict carries the
 * time until which it may be sent. Confined to the event loop.
 */
final class JobResponder {
  private static final String NO_STATE_SERVICE = "no contact with the state service";
  private static final String ENDED_AFTER_READ = "the job has ended meanwhile, ask again";
  private static final String ACCEPTANCE_UNKNOWN = "another controller may have accepted the job";
  private static final String RUN_STATE_UNKNOWN = "it is not known now whether tasks run";
  private static final String ABSENCE_LEASED = "another controller looks for the job, ask again";

  private final StateStore store;
  private final CancellationExchange cancellations;
  private final OutcomeAnnouncer outcomes;
  private final AbsenceLeases absenceLeases;
  private final RefusalsInTransit refusalsInTransit;
  private final RunStateLookup runStates;
  private final UntoldRunStates untoldStates;

  JobResponder(
      StateStore store,
      CancellationExchange cancellations,
      OutcomeAnnouncer outcomes,
      AbsenceLeases absenceLeases,
      RefusalsInTransit refusalsInTransit,
      RunStateLookup runStates,
      UntoldRunStates untoldStates) {
    this.store = store;
    this.cancellations = cancellations;
    this.outcomes = outcomes;
    this.absenceLeases = absenceLeases;
    this.refusalsInTransit = refusalsInTransit;
    this.runStates = runStates;
    this.untoldStates = untoldStates;
  }

  /**
   * Responds with the state of the stored entry, or with a newer outcome that is known here. An
   * open state may be sent until {@code validUntilMs} only, and is 503 if it can't be determined
   * whether tasks run. A final state is sent once no other controller can respond with an open
   * state any more.
   */
  void respondWithState(JobEntry stored, long validUntilMs, Consumer<ApiResponse> reply) {
    JobEntry job = withKnownOutcome(stored);
    if (job.isTerminal()) {
      untoldStates.recordTold(job.spec().id());
      outcomes.whenSettled(
          job.spec().id(), job.outcome(), () -> respondUnlessAbsenceLeased(finalState(job), reply));
    } else {
      runStates.lookUp(
          job, validUntilMs, observed -> respondWithOpenState(job, observed, validUntilMs, reply));
    }
  }

  private void respondWithOpenState(
      JobEntry stored, RunObservation observed, long validUntilMs, Consumer<ApiResponse> reply) {
    JobEntry job = withKnownOutcome(stored);
    if (job.isTerminal()) {
      respondWithState(job, validUntilMs, reply);
    } else if (!observed.isKnown()) {
      untoldStates.recordUntold(job, observed.unknownCause());
      reply.accept(unavailable(RUN_STATE_UNKNOWN));
    } else {
      untoldStates.recordTold(job.spec().id());
      ApiResponse state =
          ApiResponse.open(job.spec().id(), job.completedTaskCount(), observed.runningTasks());
      long observedUntilMs = observed.atMs() + RunStateTimes.RESPONSE_AGE_MAX_MS;
      respondUnlessAbsenceLeased(state.validUntil(Math.min(validUntilMs, observedUntilMs)), reply);
    }
  }

  /**
   * Responds that the submission was recorded, or with the job's state if the job has ended since.
   */
  void respondAccepted(JobEntry recorded, long validUntilMs, Consumer<ApiResponse> reply) {
    JobEntry job = withKnownOutcome(recorded);
    if (job.isTerminal()) {
      respondWithState(job, validUntilMs, reply);
    } else {
      String id = job.spec().id();
      respondUnlessAbsenceLeased(ApiResponse.accepted(id).validUntil(validUntilMs), reply);
    }
  }

  /** Sends the response, or 503 if a peer may be responding that the job was never accepted. */
  private void respondUnlessAbsenceLeased(ApiResponse state, Consumer<ApiResponse> reply) {
    boolean allowed = absenceLeases.mayReportAccepted(state.id());
    reply.accept(allowed ? state : unavailable(ABSENCE_LEASED));
  }

  /**
   * Sends {@code errorResponse} if the read shows that the job was never accepted, otherwise 503.
   */
  void respondWithoutEntry(
      String id, JobRead read, ApiResponse errorResponse, Consumer<ApiResponse> reply) {
    reply.accept(
        switch (read.status()) {
          case NOT_FOUND -> withoutJob(id, errorResponse.validUntil(read.validUntilMs()));
          case UNCONFIRMED -> unavailable(ACCEPTANCE_UNKNOWN);
          default -> withoutStateService();
        });
  }

  /**
   * Returns the error response to a request about a job that was never accepted. A refusal counts
   * as in transit from now on.
   */
  private ApiResponse withoutJob(String id, ApiResponse errorResponse) {
    if (isAnnounced(id)) {
      return unavailable(ENDED_AFTER_READ);
    }
    if (!errorResponse.isRefusal()) {
      return errorResponse;
    }
    return refusalsInTransit.isFull()
        ? unavailable(JobApi.QUEUE_FULL)
        : errorResponse.withRefusalId(refusalsInTransit.add(id));
  }

  /** Returns a 503 response for a request that cannot be answered without the state service. */
  ApiResponse withoutStateService() {
    return unavailable(NO_STATE_SERVICE);
  }

  /** Returns a 503 response with this reason. */
  ApiResponse unavailable(String reason) {
    return ApiResponse.unavailable(reason, store.retryAfterS());
  }

  /**
   * Returns whether an outcome of the job is known here, perhaps from a peer's announcement,
   * although the read showed no entry.
   */
  private boolean isAnnounced(String id) {
    return outcomes.recentOutcome(id) != null;
  }

  /**
   * Returns the stored entry, or the entry with a newer outcome that is known here, since another
   * controller may have ended the job already.
   */
  private JobEntry withKnownOutcome(JobEntry stored) {
    String id = stored.spec().id();
    JobEntry known = store.job(id);
    JobEntry job = known != null && known.isTerminal() ? known : stored;
    if (job.isTerminal()) {
      return job;
    }
    if (cancellations.isReportedByPeer(id)) {
      return job.withOutcome(JobOutcome.CANCELLED);
    }
    JobOutcome announced = outcomes.recentOutcome(id);
    return announced == null ? job : job.withOutcome(announced);
  }

  private static ApiResponse finalState(JobEntry job) {
    String id = job.spec().id();
    return job.outcome() == JobOutcome.DONE
        ? ApiResponse.done(id, job.spec().tasks())
        : ApiResponse.cancelled(id, job.completedTaskCount());
  }
}
