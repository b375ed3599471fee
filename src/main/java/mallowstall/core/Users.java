package mallowstall.core;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import mallowstall.Constants;
import mallowstall.core.Effects.Code;
import mallowstall.core.Effects.Cond;
import mallowstall.core.Effects.GetReply;
import mallowstall.core.Effects.Put;
import mallowstall.core.Effects.Txn;
import mallowstall.core.Model.Final;
import mallowstall.core.Model.JobRec;
import mallowstall.core.Model.JobSpec;
import mallowstall.core.Model.MachineType;
import mallowstall.core.Model.Team;
import mallowstall.core.Model.UserAnswer;

/** What users ask for: accepted, cancelled and done are recorded before they are told. */
final class Users {
  private final Core core;
  private final Store store;
  private final Map<String, List<Consumer<GetReply>>> reads = new HashMap<>();
  private final Map<String, JobRec> finals =
      new LinkedHashMap<>(64, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, JobRec> e) {
          return size() > Constants.FINAL_CACHE;
        }
      };

  Users(Core core, Store store) {
    this.core = core;
    this.store = store;
  }

  void jobChanged(String id, JobRec rec) {
    if (rec.over()) {
      finals.put(id, rec);
    }
  }

  boolean ready() {
    return store.synced()
        && store.incarnation() != 0
        && !core.types().isEmpty()
        && !core.cutOffAlone();
  }

  private UserAnswer later(String why) {
    return UserAnswer.later(why, store.retryAfterS());
  }

  void submit(JobSpec j, Consumer<UserAnswer> reply) {
    JobRec known = store.job(j.id());
    if (known != null) {
      query(j.id(), reply);
      return;
    }
    JobRec rec = JobRec.accepted(j, core.wall(), core.node(), store.incarnation());
    if (!core.jobEntries().fits(rec)) {
      refuse(j.id(), 400, "the description is too large", reply);
      return;
    }
    if (core.types().isEmpty()) {
      reply.accept(later("the machine types are not known yet"));
      return;
    }
    String never = neverRuns(j);
    if (never != null) {
      refuse(j.id(), 422, never, reply);
      return;
    }
    if (!store.synced() || !store.sessionGood()) {
      reply.accept(later("no contact with the state service"));
      return;
    }
    if (j.service() && !core.clusterVersion().allowsServices()) {
      UserAnswer notYet = later("a controller runs a version without services");
      unlessAccepted(j.id(), notYet, reply);
      return;
    }
    String key = Store.JOBS + j.id();
    long since = core.now();
    boolean asked =
        store.transact(
            Store.Urgency.USER,
            new Txn(List.of(new Cond(key, 0)), List.of(new Put(key, rec, 0)), List.of()),
            r -> {
              switch (r.code()) {
                case OK -> {
                  // A controller that stood still meanwhile called a job pending that was over. The
                  // user asks again and is told what it is then: read now, it was overtaken once
                  // more (seed 4932 of the histories).
                  if (core.now() - since > Constants.READ_LIFE_MS) {
                    reply.accept(later("recorded late, ask again"));
                  } else {
                    reply.accept(UserAnswer.state(201, j.id(), "pending", 0, 0));
                  }
                }
                case CONFLICT -> query(j.id(), reply);
                default -> reply.accept(later("the job could not be recorded"));
              }
            });
    if (!asked) {
      reply.accept(later("too many requests are waiting"));
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
    if (!store.synced() || core.now() - store.contactAt() > Constants.READ_LIFE_MS) {
      reply.accept(otherwise);
      return;
    }
    fresh(
        id,
        g -> {
          if (g.code() != Code.OK || g.item().value() == null) {
            reply.accept(otherwise);
          } else {
            reply.accept(answer((JobRec) g.item().value()));
          }
        });
  }

  private String neverRuns(JobSpec j) {
    Team t = core.settings().teams().get(j.team());
    if (t == null) {
      return "unknown team " + j.team();
    }
    boolean any = false;
    for (MachineType m : core.types().values()) {
      any |= core.fits(j, m) && (j.zone() == null || m.zones().contains(j.zone()));
    }
    if (!any) {
      return "a task fits no allowed machine type";
    }
    // replicas run all at once; a batch may run one task after the other
    int atOnce = j.service() ? j.tasks() : 1;
    String what = j.service() ? "all replicas together need" : "a task needs";
    if (t.cpusMax() > 0 && atOnce * j.cpus() > t.cpusMax() + 1e-9) {
      return what + " more cpus than the team's limit";
    }
    if (t.gpusMax() > 0 && atOnce * j.gpus() > t.gpusMax() + 1e-9) {
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
        g -> {
          if (g.code() != Code.OK) {
            reply.accept(later("no contact with the state service"));
          } else if (g.item().value() == null) {
            reply.accept(UserAnswer.error(404, "no such job"));
          } else {
            reply.accept(answer((JobRec) g.item().value()));
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
    long since = core.now();
    core.after(
        0,
        () -> {
          reads.remove(id);
          boolean asked =
              store.read(
                  Store.Urgency.USER,
                  Store.JOBS + id,
                  g -> {
                    // A controller that stood still would tell what it read before: a job that
                    // others had called done meanwhile was called running again.
                    boolean old = core.now() - since > Constants.READ_LIFE_MS;
                    GetReply said = old ? new GetReply(Code.REFUSED, null) : g;
                    all.forEach(c -> c.accept(said));
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
    JobRec rec = known != null && known.over() ? known : read;
    if (!rec.over() && core.cancellations().told(id)) {
      rec = rec.withFinal(Final.CANCELLED);
    }
    if (rec.fin() == Final.DONE) {
      return UserAnswer.state(200, id, "done", rec.spec().tasks(), 0);
    }
    if (rec.fin() == Final.CANCELLED) {
      return UserAnswer.state(200, id, "cancelled", rec.doneCount(), 0);
    }
    int running = core.running(id);
    return UserAnswer.state(200, id, running > 0 ? "running" : "pending", rec.doneCount(), running);
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
        g -> {
          if (g.code() != Code.OK) {
            reply.accept(later("no contact with the state service"));
            return;
          }
          if (g.item().value() == null) {
            reply.accept(UserAnswer.error(404, "no such job"));
            return;
          }
          JobRec rec = (JobRec) g.item().value();
          if (rec.over()) {
            reply.accept(answer(rec));
            return;
          }
          JobRec cancelled = rec.withFinal(Final.CANCELLED);
          JobEntries.Write write = core.jobEntries().keepingBits(cancelled, g.item().version());
          boolean asked =
              store.transact(
                  Store.Urgency.USER,
                  new Txn(write.when(), write.puts(), List.of()),
                  r -> {
                    if (r.code() == Code.OK) {
                      reply.accept(answer(cancelled));
                    } else if (r.code() == Code.CONFLICT && tries > 0) {
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
