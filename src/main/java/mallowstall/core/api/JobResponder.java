package mallowstall.core.api;

import java.util.function.Consumer;
import java.util.function.ToIntFunction;
import mallowstall.core.cluster.CancellationExchange;
import mallowstall.core.kv.StateStore;
import mallowstall.core.model.ApiResponse;
import mallowstall.core.model.JobEntry;
import mallowstall.core.model.JobOutcome;

/**
 * Responds with what may be told of a job now: its state, by what was read and by what is known
 * since, or a refusal. What another controller may contradict soon carries until when it may leave.
 * Thread: the event loop's.
 */
final class JobResponder {
  private static final String NO_STATE_SERVICE = "no contact with the state service";
  private static final String READ_TOO_EARLY = "the job has ended meanwhile, ask again";
  private static final String ACCEPTANCE_UNKNOWN = "another controller may have accepted the job";
  private static final String ABSENCE_LEASED = "another controller looks for the job, ask again";

  private final StateStore store;
  private final CancellationExchange cancellations;
  private final OutcomeAnnouncer outcomes;
  private final AbsenceLeases absenceLeases;
  private final ToIntFunction<String> runningTasks;

  /** {@code runningTasks}: how many tasks of the job with this id run now. */
  JobResponder(
      StateStore store,
      CancellationExchange cancellations,
      OutcomeAnnouncer outcomes,
      AbsenceLeases absenceLeases,
      ToIntFunction<String> runningTasks) {
    this.store = store;
    this.cancellations = cancellations;
    this.outcomes = outcomes;
    this.absenceLeases = absenceLeases;
    this.runningTasks = runningTasks;
  }

  /**
   * Responds with the state by this entry and by what is known since. An open state is told until
   * then or not at all; an end is told once no other controller can tell an open state any more.
   */
  void respondWithState(JobEntry stored, long validUntilMs, Consumer<ApiResponse> reply) {
    JobEntry job = withKnownOutcome(stored);
    if (job.isTerminal()) {
      outcomes.whenSettled(
          job.spec().id(), job.outcome(), () -> respondUnlessAbsenceLeased(ended(job), reply));
    } else {
      respondUnlessAbsenceLeased(open(job).validUntil(validUntilMs), reply);
    }
  }

  /** Responds that a submission was recorded, or how the job has ended since. */
  void respondAccepted(JobEntry recorded, long validUntilMs, Consumer<ApiResponse> reply) {
    JobEntry job = withKnownOutcome(recorded);
    if (job.isTerminal()) {
      respondWithState(job, validUntilMs, reply);
    } else {
      String id = job.spec().id();
      respondUnlessAbsenceLeased(ApiResponse.accepted(id).validUntil(validUntilMs), reply);
    }
  }

  /** Responds so, unless a peer may be telling users that the job was never accepted. */
  private void respondUnlessAbsenceLeased(ApiResponse state, Consumer<ApiResponse> reply) {
    boolean allowed = absenceLeases.mayCallAccepted(state.id());
    reply.accept(allowed ? state : unavailable(ABSENCE_LEASED));
  }

  /** Responds with the refusal if the read shows that the job was never accepted, else with 503. */
  void respondWithoutEntry(
      String id, JobRead read, ApiResponse refusal, Consumer<ApiResponse> reply) {
    reply.accept(
        switch (read.status()) {
          case NOT_FOUND ->
              isAnnounced(id)
                  ? unavailable(READ_TOO_EARLY)
                  : refusal.validUntil(read.validUntilMs());
          case UNCONFIRMED -> unavailable(ACCEPTANCE_UNKNOWN);
          default -> withoutStateService();
        });
  }

  /** 503: nothing is known without the state service. */
  ApiResponse withoutStateService() {
    return unavailable(NO_STATE_SERVICE);
  }

  /** 503 for this reason. */
  ApiResponse unavailable(String reason) {
    return ApiResponse.unavailable(reason, store.retryAfterS());
  }

  /** Whether a peer has said how the job has ended, of which the state read shows nothing yet. */
  private boolean isAnnounced(String id) {
    return outcomes.recentOutcome(id) != null;
  }

  /** The entry, or what is known since: others may have ended the job already. */
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

  private static ApiResponse ended(JobEntry job) {
    String id = job.spec().id();
    return job.outcome() == JobOutcome.DONE
        ? ApiResponse.done(id, job.spec().tasks())
        : ApiResponse.cancelled(id, job.completedTaskCount());
  }

  private ApiResponse open(JobEntry job) {
    String id = job.spec().id();
    return ApiResponse.open(id, job.completedTaskCount(), runningTasks.applyAsInt(id));
  }
}
