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

  Fleet(Core core, Store store, CoreSettings settings) {
    this.stranded = new StrandedJobs(core);
    this.core = core;
    this.store = store;
    this.calls =
        new Budget(
            settings.cloudRps() * Constants.BUDGET_SHARE,
            settings.cloudRps() * 2 * Constants.BUDGET_SHARE);
  }

  boolean onDuty() {
    Store.Held stored = store.held(Store.DUTY);
    if (stored == null || !store.sessionGood()) {
      return false;
    }
    DutyRec duty = (DutyRec) stored.value();
    return duty.node().equals(core.node()) && duty.incarnation() == store.incarnation();
  }

  /** Whether a machine of this type is larger than the job needs while others need that type. */
  boolean scarce(JobSpec spec, String type) {
    String min = minimalType(spec);
    return min != null && !min.equals(type) && needed.contains(type);
  }

  String minimalType(JobSpec spec) {
    String known = minimal.get(spec.id());
    if (known != null) {
      return known;
    }
    if (minimal.size() > Constants.NEEDS_CACHED) {
      minimal.clear();
    }
    String found = smallest(spec);
    if (found != null) {
      minimal.put(spec.id(), found);
    }
    return found;
  }

  /** The types have been read anew. */
  void typesChanged() {
    minimal.clear();
  }

  private String smallest(JobSpec spec) {
    MachineType best = null;
    for (MachineType type : core.types().values()) {
      if (!core.fits(spec, type)) {
        continue;
      }
      if (best == null
          || type.cpus() < best.cpus()
          || (type.cpus() == best.cpus() && type.price() < best.price())) {
        best = type;
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
            reply -> {
              claiming = false;
              claimRetry.answered(core.now(), reply.code());
              if (reply.code() == Code.OK) {
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
    for (Demand demand : demands.values()) {
      demand.machines = 0;
      demand.spotAllowed = false;
      demand.pinned.clear();
      demand.pinnedOrdinary.clear();
      demand.ordinary = 0;
    }
    Map<String, Double> teamLeft = new HashMap<>();
    for (Team team : core.settings().teams().values()) {
      teamLeft.put(team.name(), team.cpusMax() > 0 ? team.cpusMax() : Double.MAX_VALUE);
    }
    for (JobRec job : core.openJobs()) {
      if (job.over()) {
        continue;
      }
      JobSpec spec = job.spec();
      String name = minimalType(spec);
      if (name == null) {
        continue;
      }
      MachineType type = core.types().get(name);
      double tasks = spec.tasks() - job.doneCount();
      double left = teamLeft.getOrDefault(spec.team(), Double.MAX_VALUE);
      if (spec.cpus() > 0) {
        tasks = Math.min(tasks, Math.floor(left / spec.cpus()));
      }
      if (tasks <= 0) {
        continue;
      }
      teamLeft.put(spec.team(), left - tasks * spec.cpus());
      needed.add(name);
      double per =
          Math.min(
              spec.cpus() > 0 ? Math.floor(type.cpus() / spec.cpus()) : 1e9,
              Math.min(
                  spec.memoryGb() > 0 ? Math.floor(type.memoryGb() / spec.memoryGb()) : 1e9,
                  spec.gpus() > 0 ? Math.floor(type.gpus() / spec.gpus()) : 1e9));
      if (per < 1) {
        continue;
      }
      if (spec.priority().ordinal() >= Priority.HIGH.ordinal()) {
        urgent.merge(name, tasks / per, Double::sum);
      }
      double share = shareOfBoot(spec, type);
      Demand typeDemand = demands.computeIfAbsent(name, k -> new Demand());
      typeDemand.machines += tasks / per * share / waves(job, type);
      typeDemand.spotAllowed |= spec.spot();
      if (!spec.spot()) {
        typeDemand.ordinary += tasks / per;
      }
      Map<String, Double> pinned = spec.spot() ? typeDemand.pinned : typeDemand.pinnedOrdinary;
      if (spec.zone() != null) {
        pinned.merge(spec.zone(), tasks / per, Double::sum);
      }
      // at most half of a spread job may be in one zone: it needs another
      if (spec.spread()) {
        for (String zone : type.zones()) pinned.merge(zone, 0.01, Double::sum);
      }
    }
    double w = lastDemand == 0 ? 1 : 1 - Math.exp(-(now - lastDemand) / Constants.USAGE_TAU_MS);
    lastDemand = now;
    for (Map.Entry<String, Demand> entry : demands.entrySet()) {
      Demand d = entry.getValue();
      d.average += (d.machines - d.average) * w;
      d.urgent += (urgent.getOrDefault(entry.getKey(), 0.0) - d.urgent) * w;
    }
    reserve();
  }

  /**
   * The part of its own machines that a task is worth: what is over before one has booted needs
   * none. A service has no estimate and stands for good.
   */
  private static double shareOfBoot(JobSpec spec, MachineType type) {
    if (spec.service()) {
      return 1;
    }
    double life = spec.estimateS() + spec.imageGb() / Math.max(1e-3, type.fetchGbPerS());
    return Math.min(1, life / Math.max(20, 0.8 * type.bootS()));
  }

  /**
   * How many of the job's tasks may run one after the other in one place and still be on time, on a
   * machine that must first be rented and fetch the image. A machine for every two tasks of a job
   * with minutes to spare cost more than it was worth. Whole ones only: a wave and a half rented
   * too few machines for jobs of which only one wave is on time.
   */
  private double waves(JobRec job, MachineType type) {
    JobSpec spec = job.spec();
    if (spec.deadlineS() == null || spec.priority().ordinal() >= Priority.HIGH.ordinal()) {
      return 1;
    }
    double left = spec.deadlineS() - (core.wall() - job.submittedMs()) / 1000.0;
    double ready = type.bootS() + spec.imageGb() / Math.max(1e-3, type.fetchGbPerS());
    double each = Math.max(1, spec.estimateS() * Constants.ESTIMATE_MARGIN);
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
    for (View.Seen machine : core.view().machines.values())
      if (machine.takes()) {
        up.add(machine);
      }
    up.sort(
        Comparator.comparing((View.Seen seen) -> seen.state.spot())
            .thenComparing(candidate -> candidate.id));
    for (Map.Entry<String, Demand> entry : demands.entrySet()) {
      long all = up.stream().filter(s -> s.state.type().equals(entry.getKey())).count();
      long n =
          Math.min(
              (long) Math.ceil(entry.getValue().urgent * Constants.RESERVE_FACTOR),
              (long) (all * Constants.RESERVE_MOST));
      for (View.Seen s : up) {
        if (n <= 0) {
          break;
        }
        if (!s.state.type().equals(entry.getKey())) {
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
    for (Map.Entry<String, Store.Held> entry : store.under(Store.MACHINES).entrySet()) {
      MachineRec record = (MachineRec) entry.getValue().value();
      String id = entry.getKey().substring(Store.MACHINES.length());
      known.add(id);
      coming.remove(id);
      View.Seen machine = core.view().machines.get(id);
      boolean accounted = core.view().accounted(id, record);
      boolean ownerLive = store.live(record.node(), record.incarnation());
      if (accounted
          && ownerLive
          && now - core.view().heardAt(machine) < 2 * Constants.ROSTER_STALE_MS) {
        unaccountedSince.remove(id);
        if (machine.state.silent()) {
          if (taken(machine, now) || machine.idleMs(now) > lease + Constants.SILENT_RETURN_MS) {
            back.add(id);
            continue;
          }
          silent++;
          if (machine.idleMs(now) > silentHostMs() && core.view().hostsReplicas(machine)) {
            silentHosts.add(id);
          }
          continue;
        }
        if (machine.state.replace()) {
          if (!core.view().hostsReplicas(machine) || replaceLate(id, now)) {
            back.add(id);
          }
          continue;
        }
        if (machine.state.noticeS() < 0) {
          have.merge(record.type(), 1, Integer::sum);
          up.add(machine);
        }
      } else if (ownerLive
          && !record.node().equals(core.node())
          && now - core.view().peer(record.node()).rosterAt > Constants.ROSTER_STALE_MS) {
        // its owner lives and only isn't heard here
        have.merge(record.type(), 1, Integer::sum);
      } else {
        long since = unaccountedSince.computeIfAbsent(id, k -> now);
        if (now - since > lease + 2 * Constants.SILENT_RETURN_MS) {
          back.add(id);
        } else if (!ownerLive && now - since > comesBack) {
          orphans.add(id);
        } else {
          have.merge(record.type(), 1, Integer::sum);
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
    for (Listed listing : listed.values()) {
      if (known.contains(listing.id()) || returning.contains(listing.id())) {
        continue;
      }
      if (now - returned.getOrDefault(listing.id(), Long.MIN_VALUE / 2) < Constants.RETURNED_MS) {
        continue;
      }
      MachineType type = core.types().get(listing.type());
      double age = listing.ageS() + (now - listedAt) / 1000.0;
      if (listing.state().equals("failed")) {
        back.add(listing.id());
      } else if (type != null && age > bootLimitS(type)) {
        back.add(listing.id());
      } else if (!coming.containsKey(listing.id())) {
        coming.put(
            listing.id(),
            new Rented(listing.type(), listing.zone(), listing.spot(), now - (long) (age * 1000)));
      }
    }
    for (Map.Entry<String, Rented> mapEntry : new ArrayList<>(coming.entrySet())) {
      Rented rented = mapEntry.getValue();
      MachineType machineType = core.types().get(rented.type);
      double limit = machineType == null ? 120 : bootLimitS(machineType);
      boolean vanished =
          now - rented.at > 4 * core.settings().listLagMs()
              && listedAt > rented.at + 3 * core.settings().listLagMs()
              && !listed.containsKey(mapEntry.getKey());
      if (now - rented.at > limit * 1000 || vanished) {
        coming.remove(mapEntry.getKey());
        back.add(mapEntry.getKey());
      } else {
        have.merge(rented.type, 1, Integer::sum);
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
  private static boolean taken(View.Seen machine, long now) {
    double left = machine.state.noticeS() - (now - machine.at) / 1000.0;
    return machine.state.noticeS() >= 0 && left < Constants.NOTICE_OVER_S;
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
  private static double bootLimitS(MachineType type) {
    return Math.max(60, Constants.BOOT_GIVE_UP * type.bootS());
  }

  /** Where the rented processors go: the first thing to look at when jobs wait. */
  private void logUse(List<View.Seen> up) {
    double running = 0;
    double fetching = 0;
    double booked = 0;
    double free = 0;
    for (View.Seen machine : up) {
      free += machine.state.freeCpus();
      for (RosterTask task : machine.state.tasks()) {
        JobRec job = store.job(task.job());
        if (job == null || task.state() == TaskState.EXITED) {
          continue;
        }
        if (task.state() == null) {
          booked += job.spec().cpus();
        } else if (task.state() == TaskState.FETCHING) {
          fetching += job.spec().cpus();
        } else {
          running += job.spec().cpus();
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
    Demand demand = demands.get(type);
    double need = demand == null ? 0 : demand.machines;
    double floor = demand == null ? 0 : demand.average;
    int want = (int) Math.ceil(Math.max(need * 1.1, floor) - 0.05);
    if (demand != null && !renting && calls.has(now, 1, 0) && constrained(type, demand, up, now)) {
      return;
    }
    if (want > have) {
      if (!renting && calls.has(now, 1, 0)) {
        rent(type, want - have, have, want, demand == null || demand.spotAllowed, now);
      }
      return;
    }
    if (demand != null && !renting && calls.has(now, 1, 0) && rentForStranded(type, up, now)) {
      return;
    }
    int keep = (int) Math.ceil(Math.max(need * 1.2, floor * 1.15));
    // dear machines are kept for what there is to do more than for what there was
    double urgent = demand == null ? 0 : demand.urgent * Constants.RESERVE_FACTOR;
    double was = Math.max(urgent, floor * Constants.ORDINARY_FLOOR);
    int keepOrdinary = Math.min(keep, (int) Math.ceil(Math.max(need * 1.2, was)));
    if (have <= keepOrdinary) {
      return;
    }
    List<View.Seen> idle = new ArrayList<>();
    List<String> ready = new ArrayList<>();
    for (View.Seen machine : up) {
      if (!machine.state.type().equals(type)
          || !machine.state.tasks().isEmpty()
          || returning.contains(machine.id)) {
        continue;
      }
      if (machine.state.draining()) {
        ready.add(machine.id);
      } else if (machine.idleMs(now)
          > (machine.state.spot() ? Constants.IDLE_RETURN_MS : Constants.IDLE_ORDINARY_MS)) {
        idle.add(machine);
      }
    }
    if (!ready.isEmpty()) {
      giveBack(ready, "idle");
      return;
    }
    // the dear ones first, then those that have waited longest
    idle.sort(
        Comparator.comparing((View.Seen seen) -> seen.state.spot())
            .thenComparing(candidate -> -candidate.idleMs(now)));
    int most = Math.max(1, have / 6);
    int left = have;
    Map<String, List<String>> drains = new HashMap<>();
    for (View.Seen s : idle) {
      if (have - left >= most || left <= (s.state.spot() ? keep : keepOrdinary)) {
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
  private boolean constrained(String type, Demand demand, List<View.Seen> up, long now) {
    Map<String, Integer> perZone = new HashMap<>();
    Map<String, Integer> ordinaryIn = new HashMap<>();
    for (View.Seen machine : up) {
      if (!machine.state.type().equals(type)) {
        continue;
      }
      perZone.merge(machine.state.zone(), 1, Integer::sum);
      if (!machine.state.spot()) {
        ordinaryIn.merge(machine.state.zone(), 1, Integer::sum);
      }
    }
    for (Rented rented : coming.values()) {
      if (!rented.type.equals(type)) {
        continue;
      }
      perZone.merge(rented.zone, 1, Integer::sum);
      if (!rented.spot) {
        ordinaryIn.merge(rented.zone, 1, Integer::sum);
      }
    }
    for (Map.Entry<String, Double> entry : demand.pinned.entrySet()) {
      int missing = (int) Math.ceil(entry.getValue()) - perZone.getOrDefault(entry.getKey(), 0);
      if (missing <= 0) {
        continue;
      }
      if (tryZone(type, entry.getKey(), true, missing, now)) {
        return true;
      }
      if (tryZone(type, entry.getKey(), false, missing, now)) {
        return true;
      }
    }
    // A spot machine in the zone and an ordinary one elsewhere once passed for what such a job
    // needs.
    for (Map.Entry<String, Double> mapEntry : demand.pinnedOrdinary.entrySet()) {
      int missing =
          (int) Math.ceil(mapEntry.getValue()) - ordinaryIn.getOrDefault(mapEntry.getKey(), 0);
      if (missing > 0 && tryZone(type, mapEntry.getKey(), false, missing, now)) {
        return true;
      }
    }
    int ordinary = ordinaryIn.values().stream().mapToInt(Integer::intValue).sum();
    int missing = (int) Math.ceil(demand.ordinary) - ordinary;
    if (missing <= 0) {
      return false;
    }
    for (String zone : core.types().get(type).zones()) {
      if (tryZone(type, zone, false, missing, now)) {
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
    if (core.openJobs().stream()
        .noneMatch(jobRecord -> jobRecord.spec().service() && !jobRecord.over())) {
      return false;
    }
    stranded.retain(core.openJobs());
    for (JobRec record : core.openJobs()) {
      JobSpec job = record.spec();
      if (record.over() || !type.equals(minimalType(job))) {
        continue;
      }
      for (String zone : stranded.zonesMissing(record, core.types().get(type), up, now)) {
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
    for (Rented rented : coming.values()) {
      if (rented.type.equals(type) && rented.zone.equals(zone) && (spotAllowed || !rented.spot)) {
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
    MachineType machineType = core.types().get(type);
    Map<String, Integer> perZone = new HashMap<>();
    for (View.Seen machine : core.view().machines.values()) {
      if (machine.state != null && machine.state.type().equals(type)) {
        perZone.merge(machine.state.zone(), 1, Integer::sum);
      }
    }
    for (Rented rented : coming.values())
      if (rented.type.equals(type)) {
        perZone.merge(rented.zone, 1, Integer::sum);
      }
    List<String> zones = new ArrayList<>(machineType.zones());
    zones.sort(Comparator.comparingInt(zone -> perZone.getOrDefault(zone, 0)));
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

  private void ask(RentRequest request, String key) {
    renting = true;
    calls.spend(core.now(), 1);
    LOG.info(
        "rent {} {} in {}{} as {}",
        request.count(),
        request.type(),
        request.zone(),
        request.spot() ? ", spot" : "",
        request.name());
    core.effects()
        .rent(
            request,
            r -> {
              renting = false;
              long now = core.now();
              if (r.status() == 200) {
                for (String m : r.machines())
                  coming.put(m, new Rented(request.type(), request.zone(), request.spot(), now));
                LOG.info(
                    "rented {} of {} asked as {}",
                    r.machines().size(),
                    request.count(),
                    request.name());
                if (r.machines().size() < request.count()) {
                  refusedUntil.put(key, now + Constants.REFUSED_WAIT_MS);
                }
              } else if (r.status() == 503) {
                refusedUntil.put(key, now + Constants.REFUSED_WAIT_MS);
                LOG.info("refused {}", request.name());
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
            reply -> {
              dropRetry.answered(core.now(), reply.code());
              if (reply.code() != Code.OK) {
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
              for (Listed listedMachine : r.machines()) {
                sofar.put(listedMachine.id(), listedMachine);
                last = listedMachine.id();
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
