package mallowstall.core.api;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.ToIntFunction;
import mallowstall.Constants;
import mallowstall.core.cluster.CancellationExchange;
import mallowstall.core.cluster.ClusterVersion;
import mallowstall.core.cluster.Connectivity;
import mallowstall.core.cluster.MachineTypeCatalog;
import mallowstall.core.kernel.Condition;
import mallowstall.core.kernel.EventClock;
import mallowstall.core.kernel.GetResult;
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
import mallowstall.core.model.MachineType;
import mallowstall.core.model.Team;

/** What users ask for: accepted, cancelled and done are recorded before they are told. */
public final class JobApi {
  private final EventClock clock;
  private final CoreSettings settings;
  private final JobBitmaps jobBitmaps;
  private final MachineTypeCatalog types;
  private final Connectivity connectivity;
  private final CancellationExchange cancellations;
  private final ClusterVersion clusterVersion;
  private final ToIntFunction<String> runningTasks;
  private final StateStore store;
  private final Map<String, List<Consumer<GetResult>>> pendingReads = new HashMap<>();
  private final Map<String, JobEntry> terminalJobs =
      new LinkedHashMap<>(64, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, JobEntry> entry) {
          return size() > Constants.TERMINAL_JOBS_CACHE_MAX;
        }
      };

  /** Wires this module to the ones that it uses; it does nothing before its first event. */
  public JobApi(
      EventClock clock,
      CoreSettings settings,
      StateStore store,
      JobBitmaps jobBitmaps,
      MachineTypeCatalog types,
      Connectivity connectivity,
      CancellationExchange cancellations,
      ClusterVersion clusterVersion,
      ToIntFunction<String> runningTasks) {
    this.clock = clock;
    this.settings = settings;
    this.jobBitmaps = jobBitmaps;
    this.types = types;
    this.connectivity = connectivity;
    this.cancellations = cancellations;
    this.clusterVersion = clusterVersion;
    this.runningTasks = runningTasks;
    this.store = store;
  }

  /** Records the job's entry as the state replica now shows it. */
  public void jobChanged(JobEntry before, JobEntry job) {
    if (job.isTerminal()) {
      terminalJobs.put(job.spec().id(), job);
    }
  }

  public boolean isReady() {
    return store.synced()
        && store.incarnation() != 0
        && !types.isEmpty()
        && !connectivity.isIsolatedFromStateService();
  }

  private ApiResponse unavailable(String reason) {
    return ApiResponse.unavailable(reason, store.retryAfterS());
  }

  /**
   * Accepts a submission once its entry is written, or answers why not; idempotent for a known job.
   */
  public void submit(JobSpec spec, Consumer<ApiResponse> reply) {
    JobEntry known = store.job(spec.id());
    if (known != null) {
      query(spec.id(), reply);
      return;
    }
    JobEntry job =
        JobEntry.newlyAccepted(spec, clock.wallClockMs(), settings.node(), store.incarnation());
    if (!jobBitmaps.fitsAtLargest(job)) {
      rejectSubmission(spec.id(), 400, "the description is too large", reply);
      return;
    }
    if (types.isEmpty()) {
      reply.accept(unavailable("the machine types are not known yet"));
      return;
    }
    String unschedulable = unschedulableReason(spec);
    if (unschedulable != null) {
      rejectSubmission(spec.id(), 422, unschedulable, reply);
      return;
    }
    if (!store.synced() || !store.isSessionValid()) {
      reply.accept(unavailable("no contact with the state service"));
      return;
    }
    if (spec.isService() && !clusterVersion.allowsServices()) {
      ApiResponse unsupported = unavailable("a controller runs a version without services");
      replyUnlessAccepted(spec.id(), unsupported, reply);
      return;
    }
    String key = StateKeys.job(spec.id());
    long submittedAtMs = clock.now();
    boolean queued =
        store.transact(
            RequestPriority.USER,
            new Transaction(
                List.of(new Condition(key, 0)), List.of(new PutOperation(key, job, 0)), List.of()),
            result -> submissionRecorded(spec.id(), result.code(), submittedAtMs, reply));
    if (!queued) {
      reply.accept(unavailable("too many requests are waiting"));
    }
  }

  private void submissionRecorded(
      String id, ResultCode code, long submittedAtMs, Consumer<ApiResponse> reply) {
    if (code == ResultCode.CONFLICT) {
      query(id, reply);
    } else if (code != ResultCode.OK) {
      reply.accept(unavailable("the job could not be recorded"));
    } else if (clock.now() - submittedAtMs > Constants.READ_MAX_AGE_MS) {
      // A controller that stood still meanwhile called a job pending that was over. The user asks
      // again and is told what it is then: read now, it was overtaken once more (seed 4932 of the
      // histories).
      reply.accept(unavailable("recorded late, ask again"));
    } else {
      reply.accept(ApiResponse.state(201, id, "pending", 0, 0));
    }
  }

  /**
   * Wrong, unless it repeats the submission of an accepted job, which must never be told so: that
   * is asked for first. Without the state service it is told at once.
   */
  public void rejectSubmission(String id, int status, String reason, Consumer<ApiResponse> reply) {
    if (store.job(id) != null) {
      query(id, reply);
      return;
    }
    replyUnlessAccepted(id, ApiResponse.error(status, reason), reply);
  }

  /** Gives this answer unless the state service knows the job; then its state is told. */
  private void replyUnlessAccepted(String id, ApiResponse fallback, Consumer<ApiResponse> reply) {
    if (!store.synced() || clock.now() - store.lastContactMs() > Constants.READ_MAX_AGE_MS) {
      reply.accept(fallback);
      return;
    }
    readCurrent(
        id,
        read -> {
          if (read.code() != ResultCode.OK || read.item().value() == null) {
            reply.accept(fallback);
          } else {
            reply.accept(toResponse((JobEntry) read.item().value()));
          }
        });
  }

  private String unschedulableReason(JobSpec spec) {
    Team team = settings.teams().get(spec.team());
    if (team == null) {
      return "unknown team " + spec.team();
    }
    boolean fitsSomeType = false;
    for (MachineType type : types.all()) {
      fitsSomeType |=
          spec.fits(type) && (spec.zone() == null || type.zones().contains(spec.zone()));
    }
    if (!fitsSomeType) {
      return "a task fits no allowed machine type";
    }
    // replicas run all at once; a batch may run one task after the other
    int concurrentTasks = spec.isService() ? spec.tasks() : 1;
    String subject = spec.isService() ? "all replicas together need" : "a task needs";
    if (team.cpuQuota() > 0 && concurrentTasks * spec.cpus() > team.cpuQuota() + 1e-9) {
      return subject + " more cpus than the team's limit";
    }
    if (team.gpuQuota() > 0 && concurrentTasks * spec.gpus() > team.gpuQuota() + 1e-9) {
      return subject + " more gpus than the team's limit";
    }
    return null;
  }

  /**
   * Answered from a read made after the question came, or from a final state, which never changes.
   */
  public void query(String id, Consumer<ApiResponse> reply) {
    JobEntry terminalJob = terminalJobs.get(id);
    if (terminalJob != null) {
      reply.accept(toResponse(terminalJob));
      return;
    }
    readCurrent(
        id,
        read -> {
          if (read.code() != ResultCode.OK) {
            reply.accept(unavailable("no contact with the state service"));
          } else if (read.item().value() == null) {
            reply.accept(ApiResponse.error(404, "no such job"));
          } else {
            reply.accept(toResponse((JobEntry) read.item().value()));
          }
        });
  }

  /** Joins questions about one job that come before its read is sent. */
  private void readCurrent(String id, Consumer<GetResult> onRead) {
    List<Consumer<GetResult>> joined = pendingReads.get(id);
    if (joined != null) {
      joined.add(onRead);
      return;
    }
    List<Consumer<GetResult>> callbacks = new ArrayList<>();
    callbacks.add(onRead);
    pendingReads.put(id, callbacks);
    long requestedAtMs = clock.now();
    clock.schedule(
        0,
        () -> {
          pendingReads.remove(id);
          boolean queued =
              store.read(
                  RequestPriority.USER,
                  StateKeys.job(id),
                  reply -> {
                    // A controller that stood still would tell what it read before: a job that
                    // others had called done meanwhile was called running again.
                    boolean stale = clock.now() - requestedAtMs > Constants.READ_MAX_AGE_MS;
                    GetResult result = stale ? new GetResult(ResultCode.REJECTED, null) : reply;
                    callbacks.forEach(callback -> callback.accept(result));
                  });
          if (!queued) {
            callbacks.forEach(
                callback -> callback.accept(new GetResult(ResultCode.REJECTED, null)));
          }
        });
  }

  /**
   * What was read, unless something newer is known by now: while the state service answered slowly,
   * a job was called running to a user whom another controller had just told that it is cancelled.
   */
  private ApiResponse toResponse(JobEntry stored) {
    String id = stored.spec().id();
    JobEntry known = store.job(id);
    JobEntry job = known != null && known.isTerminal() ? known : stored;
    if (!job.isTerminal() && cancellations.isReportedByPeer(id)) {
      job = job.withOutcome(JobOutcome.CANCELLED);
    }
    if (job.outcome() == JobOutcome.DONE) {
      return ApiResponse.state(200, id, "done", job.spec().tasks(), 0);
    }
    if (job.outcome() == JobOutcome.CANCELLED) {
      return ApiResponse.state(200, id, "cancelled", job.completedTaskCount(), 0);
    }
    int running = runningTasks.applyAsInt(id);
    return ApiResponse.state(
        200, id, running > 0 ? "running" : "pending", job.completedTaskCount(), running);
  }

  /** Cancels a job; the answer comes once the cancellation is written. */
  public void cancel(String id, Consumer<ApiResponse> reply) {
    cancel(id, reply, 3);
  }

  private void cancel(String id, Consumer<ApiResponse> reply, int tries) {
    JobEntry terminalJob = terminalJobs.get(id);
    if (terminalJob != null) {
      reply.accept(toResponse(terminalJob));
      return;
    }
    readCurrent(
        id,
        read -> {
          if (read.code() != ResultCode.OK) {
            reply.accept(unavailable("no contact with the state service"));
            return;
          }
          if (read.item().value() == null) {
            reply.accept(ApiResponse.error(404, "no such job"));
            return;
          }
          JobEntry job = (JobEntry) read.item().value();
          if (job.isTerminal()) {
            reply.accept(toResponse(job));
            return;
          }
          JobEntry cancelled = job.withOutcome(JobOutcome.CANCELLED);
          JobBitmaps.Write write =
              jobBitmaps.writePreservingBits(cancelled, read.item().modRevision());
          boolean queued =
              store.transact(
                  RequestPriority.USER,
                  new Transaction(write.conditions(), write.puts(), List.of()),
                  result -> {
                    if (result.code() == ResultCode.OK) {
                      reply.accept(toResponse(cancelled));
                    } else if (result.code() == ResultCode.CONFLICT && tries > 0) {
                      cancel(id, reply, tries - 1);
                    } else {
                      reply.accept(unavailable("the cancellation could not be recorded"));
                    }
                  });
          if (!queued) {
            reply.accept(unavailable("too many requests are waiting"));
          }
        });
  }
}
