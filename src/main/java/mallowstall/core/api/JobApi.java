package mallowstall.core.api;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import mallowstall.Constants;
import mallowstall.core.cluster.CancellationExchange;
import mallowstall.core.cluster.ClusterVersion;
import mallowstall.core.cluster.Connectivity;
import mallowstall.core.cluster.MachineTypeCatalog;
import mallowstall.core.kernel.EventClock;
import mallowstall.core.kernel.Metrics;
import mallowstall.core.kernel.ResultCode;
import mallowstall.core.kernel.Transaction;
import mallowstall.core.kv.JobBitmaps;
import mallowstall.core.kv.RequestPriority;
import mallowstall.core.kv.StateStore;
import mallowstall.core.model.ApiResponse;
import mallowstall.core.model.CoreSettings;
import mallowstall.core.model.JobEntry;
import mallowstall.core.model.JobOutcome;
import mallowstall.core.model.JobSpec;

/**
 * Handles submissions, queries and cancellations of users (protocol, Users). A job is reported as
 * accepted, cancelled or done only after that is written to the state service. Every request gets
 * exactly one response, possibly before the method returns; an error is a response, too. Confined
 * to the event loop.
 */
public final class JobApi {
  private static final int CANCELLATION_RETRIES = 3;

  static final String QUEUE_FULL = "too many requests are waiting";

  private final StateStore store;
  private final JobBitmaps jobBitmaps;
  private final MachineTypeCatalog types;
  private final Connectivity connectivity;
  private final FormerProcessLeases formerProcessLeases;
  private final FreshJobReader reader;
  private final JobResponder responder;
  private final JobSubmission submissions;

  /** The most recently used ended jobs by id. A final state never changes, so it needs no read. */
  private final Map<String, JobEntry> terminalJobs =
      new LinkedHashMap<>(64, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, JobEntry> entry) {
          return size() > Constants.TERMINAL_JOBS_CACHE_MAX;
        }
      };

  /** Creates the API on top of the modules that it uses. */
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
      FormerProcessLeases formerProcessLeases,
      RefusalsInTransit refusalsInTransit,
      RunStateLookup runStates,
      Metrics metrics) {
    this.store = store;
    this.jobBitmaps = jobBitmaps;
    this.types = types;
    this.connectivity = connectivity;
    this.formerProcessLeases = formerProcessLeases;
    reader = new FreshJobReader(clock, store, acceptances);
    responder =
        new JobResponder(
            store,
            cancellations,
            outcomes,
            absenceLeases,
            refusalsInTransit,
            runStates,
            new UntoldRunStates(clock, metrics));
    submissions =
        new JobSubmission(
            clock,
            settings,
            store,
            jobBitmaps,
            types,
            clusterVersion,
            absenceLeases,
            reader,
            responder,
            this::query);
  }

  /**
   * Called when the job's entry in the state replica has changed. Caches the entry of an ended job.
   */
  public void jobChanged(JobEntry before, JobEntry job) {
    if (job.isTerminal()) {
      terminalJobs.put(job.spec().id(), job);
    }
  }

  /**
   * Returns whether workers can be served: the state replica is complete, this process has an
   * incarnation, the machine types are known, and the controller is not isolated from the state
   * service.
   */
  public boolean isInitialized() {
    return store.synced()
        && store.incarnation() != 0
        && !types.isEmpty()
        && !connectivity.isIsolatedFromStateService();
  }

  /** Returns whether users' requests can be served. */
  public boolean isReady() {
    return isInitialized() && formerProcessLeases.haveEnded();
  }

  /**
   * Accepts a submission once its entry is written, or responds with the reason for not accepting
   * it. A repeated submission gets the state of the job.
   */
  public void submit(JobSpec spec, Consumer<ApiResponse> reply) {
    submissions.submit(spec, reply);
  }

  /**
   * Rejects a submission. If it repeats the submission of a job that was accepted, perhaps by a
   * controller of another version, the response is the job's state instead.
   */
  public void rejectSubmission(String id, ApiResponse rejection, Consumer<ApiResponse> reply) {
    submissions.reject(id, rejection, reply);
  }

  /** Responds with the state of the job, or with 404 if there is no such job. */
  public void query(String id, Consumer<ApiResponse> reply) {
    withCurrentEntry(
        id, reply, read -> responder.respondWithState(read.job(), read.validUntilMs(), reply));
  }

  /**
   * Cancels a job. The response is sent once the cancellation is written; it is 404 if there is no
   * such job.
   */
  public void cancel(String id, Consumer<ApiResponse> reply) {
    cancel(id, reply, CANCELLATION_RETRIES);
  }

  private void cancel(String id, Consumer<ApiResponse> reply, int retries) {
    withCurrentEntry(id, reply, read -> recordCancellation(read, reply, retries));
  }

  private void recordCancellation(JobRead read, Consumer<ApiResponse> reply, int retries) {
    JobEntry job = read.job();
    if (job.isTerminal()) {
      responder.respondWithState(job, read.validUntilMs(), reply);
      return;
    }
    JobEntry cancelled = job.withOutcome(JobOutcome.CANCELLED);
    JobBitmaps.Write write = jobBitmaps.writePreservingBits(cancelled, read.modRevision());
    boolean queued =
        store.transact(
            RequestPriority.USER,
            new Transaction(write.conditions(), write.puts(), List.of()),
            result -> cancellationRecorded(cancelled, result.code(), reply, retries));
    if (!queued) {
      reply.accept(responder.unavailable(QUEUE_FULL));
    }
  }

  private void cancellationRecorded(
      JobEntry cancelled, ResultCode code, Consumer<ApiResponse> reply, int retries) {
    if (code == ResultCode.OK) {
      responder.respondWithState(cancelled, ApiResponse.ALWAYS_VALID, reply);
    } else if (code == ResultCode.CONFLICT && retries > 0) {
      cancel(cancelled.spec().id(), reply, retries - 1);
    } else {
      reply.accept(responder.unavailable("the cancellation could not be recorded"));
    }
  }

  /**
   * Passes the job's entry, read after this call, to {@code onFound}. If the job is known as ended
   * or no entry is found, this method responds itself.
   */
  private void withCurrentEntry(String id, Consumer<ApiResponse> reply, Consumer<JobRead> onFound) {
    JobEntry terminalJob = terminalJobs.get(id);
    if (terminalJob != null) {
      responder.respondWithState(terminalJob, ApiResponse.ALWAYS_VALID, reply);
      return;
    }
    reader.read(
        id,
        read -> {
          if (read.status() == JobRead.Status.FOUND) {
            onFound.accept(read);
          } else {
            responder.respondWithoutEntry(id, read, ApiResponse.notFound(), reply);
          }
        });
  }
}
