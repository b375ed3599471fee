package mallowstall.core.api;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.ToIntFunction;
import mallowstall.Constants;
import mallowstall.core.cluster.CancellationExchange;
import mallowstall.core.cluster.ClusterVersion;
import mallowstall.core.cluster.Connectivity;
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
import mallowstall.core.model.JobOutcome;
import mallowstall.core.model.JobSpec;

/**
 * Submissions, queries and cancellations of users (protocol, Users). A job is called accepted,
 * cancelled or done only after that is written. Every request gets exactly one response, possibly
 * before the method returns; errors are responses too. Thread: the event loop's.
 */
public final class JobApi {
  private static final int CANCELLATION_RETRIES = 3;

  private static final String NO_STATE_SERVICE = "no contact with the state service";
  private static final String READ_TOO_EARLY = "the job has ended meanwhile, ask again";
  private static final String ACCEPTANCE_UNKNOWN = "another controller may have accepted the job";
  private static final String ABSENCE_LEASED = "another controller looks for the job, ask again";
  private static final String QUEUE_FULL = "too many requests are waiting";

  private final EventClock clock;
  private final CoreSettings settings;
  private final StateStore store;
  private final JobBitmaps jobBitmaps;
  private final MachineTypeCatalog types;
  private final Connectivity connectivity;
  private final CancellationExchange cancellations;
  private final ClusterVersion clusterVersion;
  private final OutcomeAnnouncer outcomes;
  private final AbsenceLeases absenceLeases;
  private final ToIntFunction<String> runningTasks;
  private final FreshJobReader reader;
  private final SchedulabilityCheck schedulability;

  /** Ended jobs by id, those used last: a final state never changes and needs no read. */
  private final Map<String, JobEntry> terminalJobs =
      new LinkedHashMap<>(64, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, JobEntry> entry) {
          return size() > Constants.TERMINAL_JOBS_CACHE_MAX;
        }
      };

  /**
   * Wires this module to the ones that it uses.
   *
   * @param runningTasks how many tasks of the job with this id run now
   */
  public JobApi(
      EventClock clock,
      CoreSettings settings,
      StateStore store,
      JobBitmaps jobBitmaps,
      MachineTypeCatalog types,
      Connectivity connectivity,
      CancellationExchange cancellations,
      ClusterVersion clusterVersion,
      OutcomeAnnouncer outcomes,
      AcceptanceLookup acceptances,
      AbsenceLeases absenceLeases,
      ToIntFunction<String> runningTasks) {
    this.clock = clock;
    this.settings = settings;
    this.store = store;
    this.jobBitmaps = jobBitmaps;
    this.types = types;
    this.connectivity = connectivity;
    this.cancellations = cancellations;
    this.clusterVersion = clusterVersion;
    this.outcomes = outcomes;
    this.absenceLeases = absenceLeases;
    this.runningTasks = runningTasks;
    reader = new FreshJobReader(clock, store, acceptances);
    schedulability = new SchedulabilityCheck(settings, types);
  }

  /** Takes note of a change of the job's entry in the state replica. */
  public void jobChanged(JobEntry before, JobEntry job) {
    if (job.isTerminal()) {
      terminalJobs.put(job.spec().id(), job);
    }
  }

  /** Whether users' requests can be served: the state replica and the machine types are here. */
  public boolean isReady() {
    return store.synced()
        && store.incarnation() != 0
        && !types.isEmpty()
        && absenceLeases.hasOutlivedFormerLeases()
        && !connectivity.isIsolatedFromStateService();
  }

  /**
   * Accepts a submission once its entry is written, or responds why not. A repeated submission gets
   * the state of the job.
   */
  public void submit(JobSpec spec, Consumer<ApiResponse> reply) {
    String id = spec.id();
    if (store.job(id) != null) {
      query(id, reply);
      return;
    }
    JobEntry job =
        JobEntry.newlyAccepted(spec, clock.wallClockMs(), settings.node(), store.incarnation());
    if (!jobBitmaps.fitsAtLargest(job)) {
      rejectSubmission(id, ApiResponse.invalid("the description is too large"), reply);
      return;
    }
    if (types.isEmpty()) {
      reply.accept(unavailable("the machine types are not known yet"));
      return;
    }
    Optional<String> unschedulable = schedulability.rejectionReason(spec);
    if (unschedulable.isPresent()) {
      rejectSubmission(id, ApiResponse.unschedulable(unschedulable.get()), reply);
      return;
    }
    if (!store.synced() || !store.isSessionValid()) {
      reply.accept(unavailable(NO_STATE_SERVICE));
      return;
    }
    if (spec.isService() && !clusterVersion.allowsServices()) {
      ApiResponse unsupported = unavailable("a controller runs a version without services");
      respondUnlessAccepted(id, unsupported, reply);
      return;
    }
    recordSubmission(job, reply);
  }

  private void recordSubmission(JobEntry job, Consumer<ApiResponse> reply) {
    String id = job.spec().id();
    String key = StateKeys.job(id);
    long submittedAtMs = clock.now();
    Transaction creation =
        new Transaction(
            List.of(new Condition(key, 0)), List.of(new PutOperation(key, job, 0)), List.of());
    absenceLeases.submissionBegun(id);
    boolean queued =
        transact(creation, reply, result -> submissionRecorded(id, result, submittedAtMs, reply));
    if (!queued) {
      absenceLeases.submissionEnded(id);
    }
  }

  private void submissionRecorded(
      String id, ResultCode code, long submittedAtMs, Consumer<ApiResponse> reply) {
    absenceLeases.submissionEnded(id);
    if (code == ResultCode.CONFLICT) {
      query(id, reply);
    } else if (code != ResultCode.OK) {
      reply.accept(unavailable("the job could not be recorded"));
    } else if (clock.now() - submittedAtMs > Constants.READ_MAX_AGE_MS) {
      // The job may be over by now, and so may the result of a read: the user has to ask again.
      reply.accept(unavailable("recorded late, ask again"));
    } else {
      // its own write made the entry known here, and perhaps its end is known as well by now
      JobEntry job = withKnownOutcome(store.job(id));
      if (job.isTerminal()) {
        respondWithState(job, reply);
      } else {
        respondUnlessAbsenceLeased(id, ApiResponse.accepted(id), reply);
      }
    }
  }

  /**
   * Rejects a submission, unless it repeats that of a job which was accepted (perhaps by a
   * controller of another version): then the response is the job's state.
   */
  public void rejectSubmission(String id, ApiResponse rejection, Consumer<ApiResponse> reply) {
    if (store.job(id) != null) {
      query(id, reply);
      return;
    }
    respondUnlessAccepted(id, rejection, reply);
  }

  /** Responds with the state of the job if the state service has it, else with the fallback. */
  private void respondUnlessAccepted(String id, ApiResponse fallback, Consumer<ApiResponse> reply) {
    if (!store.synced() || clock.now() - store.lastContactMs() > Constants.READ_MAX_AGE_MS) {
      reply.accept(fallback);
      return;
    }
    reader.read(id, read -> respondWithStateOr(id, read, fallback, reply));
  }

  private void respondWithStateOr(
      String id, JobRead read, ApiResponse fallback, Consumer<ApiResponse> reply) {
    switch (read.status()) {
      case FOUND -> respondWithState(read.job(), reply);
      case NOT_FOUND -> reply.accept(isAnnounced(id) ? unavailable(READ_TOO_EARLY) : fallback);
      case UNCONFIRMED -> reply.accept(unavailable(ACCEPTANCE_UNKNOWN));
      case UNAVAILABLE -> reply.accept(unavailable(NO_STATE_SERVICE));
    }
  }

  /** Responds with the state of the job, or 404. */
  public void query(String id, Consumer<ApiResponse> reply) {
    withCurrentEntry(id, reply, read -> respondWithState(read.job(), reply));
  }

  /** Cancels a job; the response comes once the cancellation is written, or 404. */
  public void cancel(String id, Consumer<ApiResponse> reply) {
    cancel(id, reply, CANCELLATION_RETRIES);
  }

  private void cancel(String id, Consumer<ApiResponse> reply, int retries) {
    withCurrentEntry(id, reply, read -> recordCancellation(read, reply, retries));
  }

  private void recordCancellation(JobRead read, Consumer<ApiResponse> reply, int retries) {
    JobEntry job = read.job();
    if (job.isTerminal()) {
      respondWithState(job, reply);
      return;
    }
    JobEntry cancelled = job.withOutcome(JobOutcome.CANCELLED);
    JobBitmaps.Write write = jobBitmaps.writePreservingBits(cancelled, read.modRevision());
    transact(
        new Transaction(write.conditions(), write.puts(), List.of()),
        reply,
        code -> {
          if (code == ResultCode.OK) {
            respondWithState(cancelled, reply);
          } else if (code == ResultCode.CONFLICT && retries > 0) {
            cancel(job.spec().id(), reply, retries - 1);
          } else {
            reply.accept(unavailable("the cancellation could not be recorded"));
          }
        });
  }

  /** Hands over the entry read after this call; responds itself if there is none to act on. */
  private void withCurrentEntry(String id, Consumer<ApiResponse> reply, Consumer<JobRead> onFound) {
    JobEntry terminalJob = terminalJobs.get(id);
    if (terminalJob != null) {
      respondWithState(terminalJob, reply);
      return;
    }
    reader.read(
        id,
        read -> {
          switch (read.status()) {
            case FOUND -> onFound.accept(read);
            case NOT_FOUND ->
                reply.accept(
                    isAnnounced(id) ? unavailable(READ_TOO_EARLY) : ApiResponse.notFound());
            case UNCONFIRMED -> reply.accept(unavailable(ACCEPTANCE_UNKNOWN));
            case UNAVAILABLE -> reply.accept(unavailable(NO_STATE_SERVICE));
          }
        });
  }

  /** Whether a peer has said how the job has ended, of which the state read shows nothing yet. */
  private boolean isAnnounced(String id) {
    return outcomes.recentOutcome(id) != null;
  }

  /** Queues a change; if the queue is full, that is the response, and the result is false. */
  private boolean transact(
      Transaction transaction, Consumer<ApiResponse> reply, Consumer<ResultCode> onResult) {
    boolean queued =
        store.transact(RequestPriority.USER, transaction, result -> onResult.accept(result.code()));
    if (!queued) {
      reply.accept(unavailable(QUEUE_FULL));
    }
    return queued;
  }

  private ApiResponse unavailable(String reason) {
    return ApiResponse.unavailable(reason, store.retryAfterS());
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

  /**
   * Responds with the state by this entry and by what is known since. An open state is told now or
   * not at all; an end is told once no other controller can tell an open state any more.
   */
  private void respondWithState(JobEntry stored, Consumer<ApiResponse> reply) {
    JobEntry job = withKnownOutcome(stored);
    if (job.isTerminal()) {
      outcomes.whenSettled(job.spec().id(), job.outcome(), () -> reply.accept(stateOf(job)));
    } else {
      respondUnlessAbsenceLeased(job.spec().id(), stateOf(job), reply);
    }
  }

  /** Responds so, unless a peer may be telling users that the job was never accepted. */
  private void respondUnlessAbsenceLeased(
      String id, ApiResponse openState, Consumer<ApiResponse> reply) {
    reply.accept(absenceLeases.mayCallAccepted(id) ? openState : unavailable(ABSENCE_LEASED));
  }

  private ApiResponse stateOf(JobEntry job) {
    String id = job.spec().id();
    if (job.outcome() == JobOutcome.DONE) {
      return ApiResponse.done(id, job.spec().tasks());
    }
    if (job.outcome() == JobOutcome.CANCELLED) {
      return ApiResponse.cancelled(id, job.completedTaskCount());
    }
    return ApiResponse.open(id, job.completedTaskCount(), runningTasks.applyAsInt(id));
  }
}
