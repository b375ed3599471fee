package mallowstall.core;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import mallowstall.Constants;
import mallowstall.core.Effects.Code;
import mallowstall.core.Effects.Cond;
import mallowstall.core.Effects.Put;
import mallowstall.core.Effects.Txn;
import mallowstall.core.Model.CoreSettings;
import mallowstall.core.Model.DutyRec;
import mallowstall.core.Model.JobRec;
import mallowstall.core.Model.JobSpec;
import mallowstall.core.Model.Listed;
import mallowstall.core.Model.MachineRec;
import mallowstall.core.Model.MachineType;
import mallowstall.core.Model.Priority;
import mallowstall.core.Model.RentRequest;
import mallowstall.core.Model.RosterTask;
import mallowstall.core.Model.TaskState;
import mallowstall.core.Model.Team;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Rents and returns machines while this controller has the cloud duty; decides by class of machine
 * type, not by task. Every controller keeps the demand, which placement asks for scarce types.
 */
final class Fleet {
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.fleet");

  private record Rented(String type, String zone, boolean spot, long at) {}

  /** Demand for one machine type. Mutable. */
  private static final class Demand {
    double machines;

    /** Whether spot machines can serve some of it; what they can't is rented before the rest. */
    boolean spotAllowed;

    double average;

    /** Average machines' worth of urgent work. */
    double urgent;

    /** The part that only one zone can serve, and the part that spot machines can't. */
    final Map<String, Double> pinned = new HashMap<>();

    /** The part that only ordinary machines of one zone can serve. */
    final Map<String, Double> pinnedOrdinary = new HashMap<>();

    double ordinary;
  }

  private final Core core;
  private final Store store;
  private final Budget calls;
  private final Map<String, Demand> demands = new HashMap<>();

  /** By job. */
  private final Map<String, String> minimal = new HashMap<>();

  private final Map<String, Rented> coming = new LinkedHashMap<>();
  private final Map<String, Long> refusedUntil = new HashMap<>();
  private final Map<String, Long> unaccountedSince = new HashMap<>();

  /** Faulty machines that have replicas still to be moved. */
  private final Map<String, Long> replaceSince = new HashMap<>();

  private final StrandedJobs stranded;
  private final Set<String> returning = new HashSet<>();
  private final Set<String> toDrop = new HashSet<>();
  private final Map<String, Long> returned = new HashMap<>();
  private final Set<String> needed = new HashSet<>();
  private final Set<String> reserved = new HashSet<>();
  private Map<String, Listed> listed = new HashMap<>();
  private long listedAt = Long.MIN_VALUE / 2;
  private boolean listing;
  private boolean renting;
  private boolean claiming;
  private final RetryDelay claimRetry = new RetryDelay();
  private final RetryDelay dropRetry = new RetryDelay();
  private long nextPlan;
  private long nextList;
  private long nextDemand;
  private long lastDemand;
  private int counter;

  Fleet(Core core, Store store, CoreSettings s) {
    this.stranded = new StrandedJobs(core);
    this.core = core;
    this.store = store;
    this.calls =
        new Budget(
            s.cloudRps() * Constants.BUDGET_SHARE, s.cloudRps() * 2 * Constants.BUDGET_SHARE);
  }

  boolean onDuty() {
    Store.Held h = store.held(Store.DUTY);
    if (h == null || !store.sessionGood()) {
      return false;
    }
    DutyRec d = (DutyRec) h.value();
    return d.node().equals(core.node()) && d.incarnation() == store.incarnation();
  }

  /** Whether a machine of this type is larger than the job needs while others need that type. */
  boolean scarce(JobSpec j, String type) {
    String min = minimalType(j);
    return min != null && !min.equals(type) && needed.contains(type);
  }

  String minimalType(JobSpec j) {
    String known = minimal.get(j.id());
    if (known != null) {
      return known;
    }
    if (minimal.size() > Constants.NEEDS_CACHED) {
      minimal.clear();
    }
    String found = smallest(j);
    if (found != null) {
      minimal.put(j.id(), found);
    }
    return found;
  }

  /** The types have been read anew. */
  void typesChanged() {
    minimal.clear();
  }

  private String smallest(JobSpec j) {
    MachineType best = null;
    for (MachineType t : core.types().values()) {
      if (!core.fits(j, t)) {
        continue;
      }
      if (best == null
          || t.cpus() < best.cpus()
          || (t.cpus() == best.cpus() && t.price() < best.price())) {
        best = t;
      }
    }
    return best == null ? null : best.name();
  }

  void tick() {
    long now = core.now();
    if (!store.synced() || core.types().isEmpty()) {
      return;
    }
    if (now >= nextDemand) {
      nextDemand = now + Constants.FLEET_EVERY_MS / 2;
      demand(now);
    }
    if (!store.sessionGood()) {
      return;
    }
    if (store.held(Store.DUTY) == null && !claiming && claimRetry.due(now)) {
      claim();
    }
    if (!onDuty()) {
      return;
    }
    if (now >= nextList && !listing && calls.has(now, 1, 0)) {
      list();
    }
    if (now >= nextPlan) {
      nextPlan = now + Constants.FLEET_EVERY_MS;
      plan(now);
    }
    if (!toDrop.isEmpty() && dropRetry.due(now)) {
      dropRecords();
    }
  }

  private void claim() {
    claiming = true;
    boolean asked =
        store.transact(
            // behind the adoptions of a fleet it waited for a minute, and jobs for its returns
            Store.Urgency.MACHINE,
            new Txn(
                List.of(new Cond(Store.DUTY, 0)),
                List.of(
                    new Put(
                        Store.DUTY,
                        new DutyRec(core.node(), store.incarnation()),
                        store.leaseId())),
                List.of()),
            r -> {
              claiming = false;
              claimRetry.answered(core.now(), r.code());
              if (r.code() == Code.OK) {
                LOG.info("cloud duty taken");
              }
            });
    if (!asked) {
      claiming = false;
    }
  }

  // ---- demand -------------------------------------------------------------------------------
  private void demand(long now) {
    needed.clear();
    Map<String, Double> urgent = new HashMap<>();
    for (Demand d : demands.values()) {
      d.machines = 0;
      d.spotAllowed = false;
      d.pinned.clear();
      d.pinnedOrdinary.clear();
      d.ordinary = 0;
    }
    Map<String, Double> teamLeft = new HashMap<>();
    for (Team t : core.settings().teams().values()) {
      teamLeft.put(t.name(), t.cpusMax() > 0 ? t.cpusMax() : Double.MAX_VALUE);
    }
    for (JobRec rec : core.openJobs()) {
      if (rec.over()) {
        continue;
      }
      JobSpec j = rec.spec();
      String name = minimalType(j);
      if (name == null) {
        continue;
      }
      MachineType t = core.types().get(name);
      double tasks = j.tasks() - rec.doneCount();
      double left = teamLeft.getOrDefault(j.team(), Double.MAX_VALUE);
      if (j.cpus() > 0) {
        tasks = Math.min(tasks, Math.floor(left / j.cpus()));
      }
      if (tasks <= 0) {
        continue;
      }
      teamLeft.put(j.team(), left - tasks * j.cpus());
      needed.add(name);
      double per =
          Math.min(
              j.cpus() > 0 ? Math.floor(t.cpus() / j.cpus()) : 1e9,
              Math.min(
                  j.memoryGb() > 0 ? Math.floor(t.memoryGb() / j.memoryGb()) : 1e9,
                  j.gpus() > 0 ? Math.floor(t.gpus() / j.gpus()) : 1e9));
      if (per < 1) {
        continue;
      }
      if (j.priority().ordinal() >= Priority.HIGH.ordinal()) {
        urgent.merge(name, tasks / per, Double::sum);
      }
      double share = shareOfBoot(j, t);
      Demand d = demands.computeIfAbsent(name, k -> new Demand());
      d.machines += tasks / per * share / waves(rec, t);
      d.spotAllowed |= j.spot();
      if (!j.spot()) {
        d.ordinary += tasks / per;
      }
      Map<String, Double> pinned = j.spot() ? d.pinned : d.pinnedOrdinary;
      if (j.zone() != null) {
        pinned.merge(j.zone(), tasks / per, Double::sum);
      }
      // at most half of a spread job may be in one zone: it needs another
      if (j.spread()) {
        for (String z : t.zones()) pinned.merge(z, 0.01, Double::sum);
      }
    }
    double w = lastDemand == 0 ? 1 : 1 - Math.exp(-(now - lastDemand) / Constants.USAGE_TAU_MS);
    lastDemand = now;
    for (Map.Entry<String, Demand> e : demands.entrySet()) {
      Demand d = e.getValue();
      d.average += (d.machines - d.average) * w;
      d.urgent += (urgent.getOrDefault(e.getKey(), 0.0) - d.urgent) * w;
    }
    reserve();
  }

  /**
   * The part of its own machines that a task is worth: what is over before one has booted needs
   * none. A service has no estimate and stands for good.
   */
  private static double shareOfBoot(JobSpec j, MachineType t) {
    if (j.service()) {
      return 1;
    }
    double life = j.estimateS() + j.imageGb() / Math.max(1e-3, t.fetchGbPerS());
    return Math.min(1, life / Math.max(20, 0.8 * t.bootS()));
  }

  /**
   * How many of the job's tasks may run one after the other in one place and still be on time, on a
   * machine that must first be rented and fetch the image. A machine for every two tasks of a job
   * with minutes to spare cost more than it was worth. Whole ones only: a wave and a half rented
   * too few machines for jobs of which only one wave is on time.
   */
  private double waves(JobRec rec, MachineType t) {
    JobSpec j = rec.spec();
    if (j.deadlineS() == null || j.priority().ordinal() >= Priority.HIGH.ordinal()) {
      return 1;
    }
    double left = j.deadlineS() - (core.wall() - rec.submittedMs()) / 1000.0;
    double ready = t.bootS() + j.imageGb() / Math.max(1e-3, t.fetchGbPerS());
    double each = Math.max(1, j.estimateS() * Constants.ESTIMATE_MARGIN);
    return Math.max(1, Math.min(Constants.WAVES_MOST, Math.floor((left - ready) / each)));
  }

  /**
   * Keeps as many machines from lower work as urgent jobs use on average, so that these needn't
   * stop anybody. The oldest ordinary ones: they are not taken back, and every controller names the
   * same.
   */
  private void reserve() {
    reserved.clear();
    List<View.Seen> up = new ArrayList<>();
    for (View.Seen s : core.view().machines.values())
      if (s.takes()) {
        up.add(s);
      }
    up.sort(Comparator.comparing((View.Seen s) -> s.m.spot()).thenComparing(s -> s.id));
    for (Map.Entry<String, Demand> e : demands.entrySet()) {
      long all = up.stream().filter(s -> s.m.type().equals(e.getKey())).count();
      long n =
          Math.min(
              (long) Math.ceil(e.getValue().urgent * Constants.RESERVE_FACTOR),
              (long) (all * Constants.RESERVE_MOST));
      for (View.Seen s : up) {
        if (n <= 0) {
          break;
        }
        if (!s.m.type().equals(e.getKey())) {
          continue;
        }
        reserved.add(s.id);
        n--;
      }
    }
  }

  boolean reserved(String machine) {
    return reserved.contains(machine);
  }

  // ---- plan ---------------------------------------------------------------------------------
  private void plan(long now) {
    Map<String, Integer> have = new HashMap<>();
    Set<String> known = new HashSet<>();
    List<View.Seen> up = new ArrayList<>();
    List<String> back = new ArrayList<>();
    List<String> orphans = new ArrayList<>();
    List<String> silentHosts = new ArrayList<>();
    int silent = 0;
    long lease = core.settings().leaseMs();
    long comesBack = Constants.COMES_BACK_MS + core.settings().reportMs() * 3 / 2;
    for (Map.Entry<String, Store.Held> e : store.under(Store.MACHINES).entrySet()) {
      MachineRec rec = (MachineRec) e.getValue().value();
      String id = e.getKey().substring(Store.MACHINES.length());
      known.add(id);
      coming.remove(id);
      View.Seen s = core.view().machines.get(id);
      boolean accounted = core.view().accounted(id, rec);
      boolean ownerLive = store.live(rec.node(), rec.incarnation());
      if (accounted && ownerLive && now - core.view().heardAt(s) < 2 * Constants.ROSTER_STALE_MS) {
        unaccountedSince.remove(id);
        if (s.m.silent()) {
          if (taken(s, now) || s.idleMs(now) > lease + Constants.SILENT_RETURN_MS) {
            back.add(id);
            continue;
          }
          silent++;
          if (s.idleMs(now) > silentHostMs() && core.view().hostsReplicas(s)) {
            silentHosts.add(id);
          }
          continue;
        }
        if (s.m.replace()) {
          if (!core.view().hostsReplicas(s) || replaceLate(id, now)) {
            back.add(id);
          }
          continue;
        }
        if (s.m.noticeS() < 0) {
          have.merge(rec.type(), 1, Integer::sum);
          up.add(s);
        }
      } else if (ownerLive
          && !rec.node().equals(core.node())
          && now - core.view().peer(rec.node()).rosterAt > Constants.ROSTER_STALE_MS) {
        // its owner lives and only isn't heard here
        have.merge(rec.type(), 1, Integer::sum);
      } else {
        long since = unaccountedSince.computeIfAbsent(id, k -> now);
        if (now - since > lease + 2 * Constants.SILENT_RETURN_MS) {
          back.add(id);
        } else if (!ownerLive && now - since > comesBack) {
          orphans.add(id);
        } else {
          have.merge(rec.type(), 1, Integer::sum);
        }
      }
    }
    // Its owner is gone and it has turned to nobody: while it is unaccounted for, jobs taken over
    // wait, and a return is proof. Many at once would rather mean that their arrival is what is
    // slow.
    if (orphans.size() * 4 <= known.size() + 4) {
      back.addAll(orphans);
    }
    // A silent machine's replicas can start elsewhere once its lease is over, or at once when it is
    // returned. Many at once are cut off rather than dead, and go on if the cut is short: all count
    // that are silent, since a cut's machines pass the longer time one by one.
    if (silent * 4 <= known.size() + 4) {
      back.addAll(silentHosts);
    }
    unaccountedSince.keySet().retainAll(known);
    replaceSince.keySet().retainAll(known);
    returned.values().removeIf(at -> now - at > Constants.RETURNED_MS);
    if (LOG.isDebugEnabled()) {
      logUse(up);
    }
    for (Listed l : listed.values()) {
      if (known.contains(l.id()) || returning.contains(l.id())) {
        continue;
      }
      if (now - returned.getOrDefault(l.id(), Long.MIN_VALUE / 2) < Constants.RETURNED_MS) {
        continue;
      }
      MachineType t = core.types().get(l.type());
      double age = l.ageS() + (now - listedAt) / 1000.0;
      if (l.state().equals("failed")) {
        back.add(l.id());
      } else if (t != null && age > bootLimitS(t)) {
        back.add(l.id());
      } else if (!coming.containsKey(l.id())) {
        coming.put(l.id(), new Rented(l.type(), l.zone(), l.spot(), now - (long) (age * 1000)));
      }
    }
    for (Map.Entry<String, Rented> e : new ArrayList<>(coming.entrySet())) {
      Rented r = e.getValue();
      MachineType t = core.types().get(r.type);
      double limit = t == null ? 120 : bootLimitS(t);
      boolean vanished =
          now - r.at > 4 * core.settings().listLagMs()
              && listedAt > r.at + 3 * core.settings().listLagMs()
              && !listed.containsKey(e.getKey());
      if (now - r.at > limit * 1000 || vanished) {
        coming.remove(e.getKey());
        back.add(e.getKey());
      } else {
        have.merge(r.type, 1, Integer::sum);
      }
    }
    for (String t : core.types().keySet()) planType(t, have.getOrDefault(t, 0), up, now);
    back.removeAll(returning);
    back.removeAll(returned.keySet());
    if (!back.isEmpty()) {
      giveBack(back, "lost, failed or faulty");
    }
  }

  /**
   * Silent at the end of its notice: the cloud has it back, and a return proves at once what its
   * lease would prove only later.
   */
  private static boolean taken(View.Seen s, long now) {
    double left = s.m.noticeS() - (now - s.at) / 1000.0;
    return s.m.noticeS() >= 0 && left < Constants.NOTICE_OVER_S;
  }

  /** Some reports later than where a machine counts as silent. */
  private long silentHostMs() {
    return Constants.SILENT_HOST_MS + core.settings().reportMs();
  }

  /** Whether a faulty machine's replicas have had their time to be moved. */
  private boolean replaceLate(String id, long now) {
    return now - replaceSince.computeIfAbsent(id, k -> now) > Constants.MOVE_KEEPS_ROOM_MS;
  }

  /** After so many seconds a machine that isn't up is taken for one that never boots. */
  private static double bootLimitS(MachineType t) {
    return Math.max(60, Constants.BOOT_GIVE_UP * t.bootS());
  }

  /** Where the rented processors go: the first thing to look at when jobs wait. */
  private void logUse(List<View.Seen> up) {
    double running = 0;
    double fetching = 0;
    double booked = 0;
    double free = 0;
    for (View.Seen s : up) {
      free += s.m.freeCpus();
      for (RosterTask t : s.m.tasks()) {
        JobRec j = store.job(t.job());
        if (j == null || t.state() == TaskState.EXITED) {
          continue;
        }
        if (t.state() == null) {
          booked += j.spec().cpus();
        } else if (t.state() == TaskState.FETCHING) {
          fetching += j.spec().cpus();
        } else {
          running += j.spec().cpus();
        }
      }
    }
    LOG.debug(
        "use: {} machines up, cpus running {}, fetching {}, booked {}, free {}",
        up.size(),
        running,
        fetching,
        booked,
        free);
  }

  private void planType(String type, int have, List<View.Seen> up, long now) {
    Demand d = demands.get(type);
    double need = d == null ? 0 : d.machines;
    double floor = d == null ? 0 : d.average;
    int want = (int) Math.ceil(Math.max(need * 1.1, floor) - 0.05);
    if (d != null && !renting && calls.has(now, 1, 0) && constrained(type, d, up, now)) {
      return;
    }
    if (want > have) {
      if (!renting && calls.has(now, 1, 0)) {
        rent(type, want - have, have, want, d == null || d.spotAllowed, now);
      }
      return;
    }
    if (d != null && !renting && calls.has(now, 1, 0) && rentForStranded(type, up, now)) {
      return;
    }
    int keep = (int) Math.ceil(Math.max(need * 1.2, floor * 1.15));
    // dear machines are kept for what there is to do more than for what there was
    double urgent = d == null ? 0 : d.urgent * Constants.RESERVE_FACTOR;
    double was = Math.max(urgent, floor * Constants.ORDINARY_FLOOR);
    int keepOrdinary = Math.min(keep, (int) Math.ceil(Math.max(need * 1.2, was)));
    if (have <= keepOrdinary) {
      return;
    }
    List<View.Seen> idle = new ArrayList<>();
    List<String> ready = new ArrayList<>();
    for (View.Seen s : up) {
      if (!s.m.type().equals(type) || !s.m.tasks().isEmpty() || returning.contains(s.id)) {
        continue;
      }
      if (s.m.draining()) {
        ready.add(s.id);
      } else if (s.idleMs(now)
          > (s.m.spot() ? Constants.IDLE_RETURN_MS : Constants.IDLE_ORDINARY_MS)) {
        idle.add(s);
      }
    }
    if (!ready.isEmpty()) {
      giveBack(ready, "idle");
      return;
    }
    // the dear ones first, then those that have waited longest
    idle.sort(Comparator.comparing((View.Seen s) -> s.m.spot()).thenComparing(s -> -s.idleMs(now)));
    int most = Math.max(1, have / 6);
    int left = have;
    Map<String, List<String>> drains = new HashMap<>();
    for (View.Seen s : idle) {
      if (have - left >= most || left <= (s.m.spot() ? keep : keepOrdinary)) {
        break;
      }
      left--;
      drains.computeIfAbsent(s.owner, k -> new ArrayList<>()).add(s.id);
    }
    drains.forEach((owner, ids) -> core.drain(owner, ids));
  }

  /**
   * Rents for jobs that only one zone or only ordinary machines can serve: enough machines
   * elsewhere are of no use to them. Counting them by type alone once left such a job waiting for
   * good.
   */
  private boolean constrained(String type, Demand d, List<View.Seen> up, long now) {
    Map<String, Integer> perZone = new HashMap<>();
    Map<String, Integer> ordinaryIn = new HashMap<>();
    for (View.Seen s : up) {
      if (!s.m.type().equals(type)) {
        continue;
      }
      perZone.merge(s.m.zone(), 1, Integer::sum);
      if (!s.m.spot()) {
        ordinaryIn.merge(s.m.zone(), 1, Integer::sum);
      }
    }
    for (Rented r : coming.values()) {
      if (!r.type.equals(type)) {
        continue;
      }
      perZone.merge(r.zone, 1, Integer::sum);
      if (!r.spot) {
        ordinaryIn.merge(r.zone, 1, Integer::sum);
      }
    }
    for (Map.Entry<String, Double> e : d.pinned.entrySet()) {
      int missing = (int) Math.ceil(e.getValue()) - perZone.getOrDefault(e.getKey(), 0);
      if (missing <= 0) {
        continue;
      }
      if (tryZone(type, e.getKey(), true, missing, now)) {
        return true;
      }
      if (tryZone(type, e.getKey(), false, missing, now)) {
        return true;
      }
    }
    // A spot machine in the zone and an ordinary one elsewhere once passed for what such a job
    // needs.
    for (Map.Entry<String, Double> e : d.pinnedOrdinary.entrySet()) {
      int missing = (int) Math.ceil(e.getValue()) - ordinaryIn.getOrDefault(e.getKey(), 0);
      if (missing > 0 && tryZone(type, e.getKey(), false, missing, now)) {
        return true;
      }
    }
    int ordinary = ordinaryIn.values().stream().mapToInt(Integer::intValue).sum();
    int missing = (int) Math.ceil(d.ordinary) - ordinary;
    if (missing <= 0) {
      return false;
    }
    for (String z : core.types().get(type).zones()) {
      if (tryZone(type, z, false, missing, now)) {
        return true;
      }
    }
    return false;
  }

  /**
   * Rents one machine for a job that has room on none, though there are enough by their number: a
   * replica that the others of its zone left no room for once waited for good, and so did a batch.
   */
  private boolean rentForStranded(String type, List<View.Seen> up, long now) {
    if (core.openJobs().stream().noneMatch(rec -> rec.spec().service() && !rec.over())) {
      return false;
    }
    stranded.retain(core.openJobs());
    for (JobRec rec : core.openJobs()) {
      JobSpec job = rec.spec();
      if (rec.over() || !type.equals(minimalType(job))) {
        continue;
      }
      for (String zone : stranded.zonesMissing(rec, core.types().get(type), up, now)) {
        if (!rentOne(type, zone, job.spot(), now)) {
          continue;
        }
        LOG.info("job {} has room on no machine in {}", job.id(), zone);
        return true;
      }
    }
    return false;
  }

  /** Whether one has been asked for; not while a machine that may serve is coming. */
  private boolean rentOne(String type, String zone, boolean spotAllowed, long now) {
    for (Rented r : coming.values()) {
      if (r.type.equals(type) && r.zone.equals(zone) && (spotAllowed || !r.spot)) {
        return false;
      }
    }
    return spotAllowed && tryZone(type, zone, true, 1, now) || tryZone(type, zone, false, 1, now);
  }

  private boolean tryZone(String type, String zone, boolean spot, int n, long now) {
    String key = type + "/" + zone + "/" + spot;
    if (refusedUntil.getOrDefault(key, 0L) > now) {
      return false;
    }
    ask(
        new RentRequest(
            "r-" + store.incarnation() + "-" + ++counter,
            type,
            zone,
            spot,
            Math.min(Constants.RENT_MAX, n)),
        key);
    return true;
  }

  private void rent(String type, int missing, int have, int want, boolean spotAllowed, long now) {
    MachineType t = core.types().get(type);
    Map<String, Integer> perZone = new HashMap<>();
    for (View.Seen s : core.view().machines.values()) {
      if (s.m != null && s.m.type().equals(type)) {
        perZone.merge(s.m.zone(), 1, Integer::sum);
      }
    }
    for (Rented r : coming.values())
      if (r.type.equals(type)) {
        perZone.merge(r.zone, 1, Integer::sum);
      }
    List<String> zones = new ArrayList<>(t.zones());
    zones.sort(Comparator.comparingInt(z -> perZone.getOrDefault(z, 0)));
    for (int kind = spotAllowed ? 0 : 1; kind < 2; kind++) {
      boolean spot = kind == 0;
      if (!spot && spotAllowed && missing < 0.15 * want) {
        continue;
      }
      for (String z : zones) {
        int half = zones.size() > 1 ? (missing + 1) / 2 : missing;
        if (tryZone(type, z, spot, half, now)) {
          return;
        }
      }
    }
  }

  private void ask(RentRequest q, String key) {
    renting = true;
    calls.spend(core.now(), 1);
    LOG.info(
        "rent {} {} in {}{} as {}",
        q.count(),
        q.type(),
        q.zone(),
        q.spot() ? ", spot" : "",
        q.name());
    core.effects()
        .rent(
            q,
            r -> {
              renting = false;
              long now = core.now();
              if (r.status() == 200) {
                for (String m : r.machines())
                  coming.put(m, new Rented(q.type(), q.zone(), q.spot(), now));
                LOG.info("rented {} of {} asked as {}", r.machines().size(), q.count(), q.name());
                if (r.machines().size() < q.count()) {
                  refusedUntil.put(key, now + Constants.REFUSED_WAIT_MS);
                }
              } else if (r.status() == 503) {
                refusedUntil.put(key, now + Constants.REFUSED_WAIT_MS);
                LOG.info("refused {}", q.name());
              }
              nextPlan = Math.min(nextPlan, now + 300);
            });
  }

  /**
   * As many as one request may name; the rest with a later plan. Idle machines of a fleet were once
   * named all at once, 200 of them: the cloud refused, again and again, and none went back.
   */
  private void giveBack(List<String> ids, String why) {
    if (!calls.has(core.now(), 1, 0)) {
      return;
    }
    calls.spend(core.now(), 1);
    List<String> names = List.copyOf(ids.subList(0, Math.min(ids.size(), Constants.RETURN_MAX)));
    returning.addAll(names);
    LOG.info("return {}: {}", names, why);
    core.effects()
        .giveBack(
            names,
            ok -> {
              returning.removeAll(names);
              if (!ok) {
                return;
              }
              for (String id : names) {
                returned.put(id, core.now());
                coming.remove(id);
                listed.remove(id);
                if (store.machine(id) != null) {
                  toDrop.add(id);
                }
              }
              dropRecords();
            });
  }

  /** The cloud has confirmed that these are gone; the deleted records tell every holder so. */
  private void dropRecords() {
    toDrop.removeIf(id -> store.machine(id) == null);
    if (toDrop.isEmpty()) {
      return;
    }
    List<String> keys = new ArrayList<>();
    List<Put> ends = new ArrayList<>();
    List<String> drops = new ArrayList<>();
    for (String id : toDrop) {
      if (keys.size() >= core.settings().txnOps()) {
        break;
      }
      String key = Store.MACHINES + id;
      keys.add(key);
      if (store.grouped(id)) {
        ends.add(new Put(key, MachineRec.returned(), 0));
      } else {
        drops.add(key);
      }
    }
    toDrop.removeIf(id -> keys.contains(Store.MACHINES + id));
    // until the records are gone, holders don't know and jobs taken over wait for these machines
    Runnable again = () -> keys.forEach(k -> toDrop.add(k.substring(Store.MACHINES.length())));
    boolean asked =
        store.transact(
            Store.Urgency.MACHINE,
            new Txn(List.of(), ends, drops),
            r -> {
              dropRetry.answered(core.now(), r.code());
              if (r.code() != Code.OK) {
                again.run();
              }
            });
    if (!asked) {
      again.run();
    }
  }

  private void list() {
    listing = true;
    nextList = core.now() + Constants.LIST_EVERY_MS;
    page(null, new HashMap<>());
  }

  private void page(String after, Map<String, Listed> sofar) {
    calls.spend(core.now(), 1);
    core.effects()
        .listMachines(
            after,
            r -> {
              if (!r.ok()) {
                listing = false;
                return;
              }
              String last = after;
              for (Listed l : r.machines()) {
                sofar.put(l.id(), l);
                last = l.id();
              }
              if (r.more() && last != null) {
                page(last, sofar);
                return;
              }
              listing = false;
              listed = sofar;
              listedAt = core.now();
            });
  }
}
