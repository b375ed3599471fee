package mallowstall.core;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.ToIntFunction;
import mallowstall.Constants;
import mallowstall.core.Effects.Code;
import mallowstall.core.Effects.Cond;
import mallowstall.core.Effects.GetReply;
import mallowstall.core.Effects.Put;
import mallowstall.core.Effects.Txn;
import mallowstall.core.Model.CoreSettings;
import mallowstall.core.Model.Final;
import mallowstall.core.Model.JobRec;
import mallowstall.core.Model.JobSpec;
import mallowstall.core.Model.MachineType;
import mallowstall.core.Model.Team;
import mallowstall.core.Model.UserAnswer;

/** What users ask for: accepted, cancelled and done are recorded before they are told. */
final class Users {
  private final EventClock clock;
  private final CoreSettings settings;
  private final JobEntries jobEntries;
  private final MachineTypeCatalog types;
  private final Connectivity connectivity;
  private final Cancellations cancellations;
  private final ClusterVersion clusterVersion;
  private final ToIntFunction<String> runningTasks;
  private final Store store;
  private final Map<String, List<Consumer<GetReply>>> reads = new HashMap<>();
  private final Map<String, JobRec> finals =
      new LinkedHashMap<>(64, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, JobRec> entry) {
          return size() > Constants.FINAL_CACHE;
        }
      };

  Users(
      EventClock clock,
      CoreSettings settings,
      Store store,
      JobEntries jobEntries,
      MachineTypeCatalog types,
      Connectivity connectivity,
      Cancellations cancellations,
      ClusterVersion clusterVersion,
      ToIntFunction<String> runningTasks) {
    this.clock = clock;
    this.settings = settings;
    this.jobEntries = jobEntries;
    this.types = types;
    this.connectivity = connectivity;
    this.cancellations = cancellations;
    this.clusterVersion = clusterVersion;
    this.runningTasks = runningTasks;
    this.store = store;
  }

  void jobChanged(JobRec before, JobRec job) {
    if (job.over()) {
      finals.put(job.spec().id(), job);
    }
  }

  boolean ready() {
    return store.synced()
        && store.incarnation() != 0
        && !types.isEmpty()
        && !connectivity.isolatedFromStateService();
  }

  private UserAnswer later(String why) {
    return UserAnswer.later(why, store.retryAfterS());
  }

  void submit(JobSpec spec, Consumer<UserAnswer> reply) {
    JobRec known = store.job(spec.id());
    if (known != null) {
      query(spec.id(), reply);
      return;
    }
    JobRec job = JobRec.accepted(spec, clock.wallClock(), settings.node(), store.incarnation());
    if (!jobEntries.fits(job)) {
      refuse(spec.id(), 400, "the description is too large", reply);
      return;
    }
    if (types.isEmpty()) {
      reply.accept(later("the machine types are not known yet"));
      return;
    }
    String never = neverRuns(spec);
    if (never != null) {
      refuse(spec.id(), 422, never, reply);
      return;
    }
    if (!store.synced() || !store.sessionGood()) {
      reply.accept(later("no contact with the state service"));
      return;
    }
    if (spec.service() && !clusterVersion.allowsServices()) {
      UserAnswer notYet = later("a controller runs a version without services");
      unlessAccepted(spec.id(), notYet, reply);
      return;
    }
    String key = Store.JOBS + spec.id();
    long since = clock.now();
    boolean asked =
        store.transact(
            Store.Urgency.USER,
            new Txn(List.of(new Cond(key, 0)), List.of(new Put(key, job, 0)), List.of()),
            result -> recorded(spec.id(), result.code(), since, reply));
    if (!asked) {
      reply.accept(later("too many requests are waiting"));
    }
  }

  private void recorded(String id, Code code, long since, Consumer<UserAnswer> reply) {
    if (code == Code.CONFLICT) {
      query(id, reply);
    } else if (code != Code.OK) {
      reply.accept(later("the job could not be recorded"));
    } else if (clock.now() - since > Constants.READ_LIFE_MS) {
      // A controller that stood still meanwhile called a job pending that was over. The user asks
      // again and is told what it is then: read now, it was overtaken once more (seed 4932 of the
      // histories).
      reply.accept(later("recorded late, ask again"));
    } else {
      reply.accept(UserAnswer.state(201, id, "pending", 0, 0));
    }
  }

  /**
   * Wrong, unless it repeats the submission of an accepted job, which must never be told so: that
   * is asked for first. Without the state service it is told at once.
   */
  void refuse(String id, int status, String why, Consumer<UserAnswer> reply) {
    if (store.job(id) != null) {
      query(id, reply);
      return;
    }
    unlessAccepted(id, UserAnswer.error(status, why), reply);
  }

  /** Gives this answer unless the state service knows the job; then its state is told. */
  private void unlessAccepted(String id, UserAnswer otherwise, Consumer<UserAnswer> reply) {
    if (!store.synced() || clock.now() - store.contactAt() > Constants.READ_LIFE_MS) {
      reply.accept(otherwise);
      return;
    }
    fresh(
        id,
        read -> {
          if (read.code() != Code.OK || read.item().value() == null) {
            reply.accept(otherwise);
          } else {
            reply.accept(answer((JobRec) read.item().value()));
          }
        });
  }

  private String neverRuns(JobSpec spec) {
    Team team = settings.teams().get(spec.team());
    if (team == null) {
      return "unknown team " + spec.team();
    }
    boolean any = false;
    for (MachineType m : types.all()) {
      any |= spec.fits(m) && (spec.zone() == null || m.zones().contains(spec.zone()));
    }
    if (!any) {
      return "a task fits no allowed machine type";
    }
    // replicas run all at once; a batch may run one task after the other
    int atOnce = spec.service() ? spec.tasks() : 1;
    String what = spec.service() ? "all replicas together need" : "a task needs";
    if (team.cpusMax() > 0 && atOnce * spec.cpus() > team.cpusMax() + 1e-9) {
      return what + " more cpus than the team's limit";
    }
    if (team.gpusMax() > 0 && atOnce * spec.gpus() > team.gpusMax() + 1e-9) {
      return what + " more gpus than the team's limit";
    }
    return null;
  }

  /**
   * Answered from a read made after the question came, or from a final state, which never changes.
   */
  void query(String id, Consumer<UserAnswer> reply) {
    JobRec fin = finals.get(id);
    if (fin != null) {
      reply.accept(answer(fin));
      return;
    }
    fresh(
        id,
        read -> {
          if (read.code() != Code.OK) {
            reply.accept(later("no contact with the state service"));
          } else if (read.item().value() == null) {
            reply.accept(UserAnswer.error(404, "no such job"));
          } else {
            reply.accept(answer((JobRec) read.item().value()));
          }
        });
  }

  /** Joins questions about one job that come before its read is sent. */
  private void fresh(String id, Consumer<GetReply> then) {
    List<Consumer<GetReply>> waiting = reads.get(id);
    if (waiting != null) {
      waiting.add(then);
      return;
    }
    List<Consumer<GetReply>> all = new ArrayList<>();
    all.add(then);
    reads.put(id, all);
    long since = clock.now();
    clock.schedule(
        0,
        () -> {
          reads.remove(id);
          boolean asked =
              store.read(
                  Store.Urgency.USER,
                  Store.JOBS + id,
                  reply -> {
                    // A controller that stood still would tell what it read before: a job that
                    // others had called done meanwhile was called running again.
                    boolean old = clock.now() - since > Constants.READ_LIFE_MS;
                    GetReply said = old ? new GetReply(Code.REFUSED, null) : reply;
                    all.forEach(callback -> callback.accept(said));
                  });
          if (!asked) {
            all.forEach(c -> c.accept(new GetReply(Code.REFUSED, null)));
          }
        });
  }

  /**
   * What was read, unless something newer is known by now: while the state service answered slowly,
   * a job was called running to a user whom another controller had just told that it is cancelled.
   */
  private UserAnswer answer(JobRec read) {
    String id = read.spec().id();
    JobRec known = store.job(id);
    JobRec job = known != null && known.over() ? known : read;
    if (!job.over() && cancellations.told(id)) {
      job = job.withFinal(Final.CANCELLED);
    }
    if (job.fin() == Final.DONE) {
      return UserAnswer.state(200, id, "done", job.spec().tasks(), 0);
    }
    if (job.fin() == Final.CANCELLED) {
      return UserAnswer.state(200, id, "cancelled", job.doneCount(), 0);
    }
    int running = runningTasks.applyAsInt(id);
    return UserAnswer.state(200, id, running > 0 ? "running" : "pending", job.doneCount(), running);
  }

  void cancel(String id, Consumer<UserAnswer> reply) {
    cancel(id, reply, 3);
  }

  private void cancel(String id, Consumer<UserAnswer> reply, int tries) {
    JobRec fin = finals.get(id);
    if (fin != null) {
      reply.accept(answer(fin));
      return;
    }
    fresh(
        id,
        read -> {
          if (read.code() != Code.OK) {
            reply.accept(later("no contact with the state service"));
            return;
          }
          if (read.item().value() == null) {
            reply.accept(UserAnswer.error(404, "no such job"));
            return;
          }
          JobRec job = (JobRec) read.item().value();
          if (job.over()) {
            reply.accept(answer(job));
            return;
          }
          JobRec cancelled = job.withFinal(Final.CANCELLED);
          JobEntries.Write write = jobEntries.keepingBits(cancelled, read.item().version());
          boolean asked =
              store.transact(
                  Store.Urgency.USER,
                  new Txn(write.when(), write.puts(), List.of()),
                  result -> {
                    if (result.code() == Code.OK) {
                      reply.accept(answer(cancelled));
                    } else if (result.code() == Code.CONFLICT && tries > 0) {
                      cancel(id, reply, tries - 1);
                    } else {
                      reply.accept(later("the cancellation could not be recorded"));
                    }
                  });
          if (!asked) {
            reply.accept(later("too many requests are waiting"));
          }
        });
  }
}
