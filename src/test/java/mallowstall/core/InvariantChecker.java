package mallowstall.core;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import mallowstall.core.Model.JobSpec;
import mallowstall.core.Model.Team;

/**
 * The slow plain model: what is on which machine and what users were told, checked at each step.
 */
final class InvariantChecker {
  /** A task that is on a machine. */
  record OnMachine(String machine, String job, int task, String type, String zone, boolean spot) {}

  /** A replica of a service. */
  private record Replica(String job, int number) {}

  /** A machine that is up, with all its processors. */
  record Machine(String id, String type, String zone, boolean spot, double cpus) {}

  /** How long a job may wait beside room for it once no trouble is left. */
  static final long WAITS_MS = 90_000;

  /** How long a replica may be on no machine beside room for it once no trouble is left. */
  static final long REPLICA_MISSING_MS = 30_000;

  /** How long a user waits for the answer to a question. */
  static final long POLL_MS = 2_000;

  /**
   * Answers that were overtaken by a final state or an acceptance told elsewhere: both questions
   * were under way at once, and the older answer's read was made before.
   */
  final List<String> crossed = new ArrayList<>();

  /** Whether such an answer counts as broken, which no controller can rule out by itself. */
  boolean crossingsBreak = true;

  final List<String> broken = new ArrayList<>();
  private final Map<String, JobSpec> jobs = new HashMap<>();
  private final Map<String, Team> teams;
  private final long cancelMs;
  private final List<OnMachine> on = new ArrayList<>();
  private final Map<String, Set<Integer>> done = new HashMap<>();
  private final Map<String, Long> cancelledAt = new HashMap<>();
  private final Map<String, Long> toldFirst = new HashMap<>();
  private final Map<String, Long> finalAt = new HashMap<>();
  private final Map<String, String> told = new HashMap<>();
  private final Set<String> wantsCancel = new HashSet<>();
  private final Map<String, Long> answered = new HashMap<>();
  private final Map<String, Machine> up = new TreeMap<>();
  private final Map<String, Long> waitsSince = new HashMap<>();
  private final Map<Replica, Long> missingSince = new HashMap<>();

  /** The machines that keep a replica's result: started there again it ends at once. */
  private final Map<Replica, Set<String>> resultsOn = new HashMap<>();

  int starts;

  /** Starts after a cancellation was told, soon enough to have been under way then. */
  int startsAfterCancel;

  /** From here on no trouble is left: every accepted job's questions must be answered. */
  long calmSince = Long.MAX_VALUE;

  InvariantChecker(Map<String, Team> teams, long cancelMs) {
    this.teams = teams;
    this.cancelMs = cancelMs;
  }

  void submitted(JobSpec spec) {
    jobs.put(spec.id(), spec);
  }

  void asksToCancel(String job) {
    wantsCancel.add(job);
  }

  /** Whether somebody has asked to cancel the job. */
  boolean cancelAsked(String job) {
    return wantsCancel.contains(job);
  }

  void started(long now, OnMachine m) {
    starts++;
    JobSpec spec = jobs.get(m.job);
    if (spec == null) {
      broken.add(now + " invented: " + m);
      return;
    }
    for (OnMachine task : on) {
      if (task.job.equals(m.job) && task.task == m.task && !task.machine.equals(m.machine)) {
        broken.add(now + " ran_twice: " + m + " while on " + task.machine);
      }
    }
    if (!spec.allowsMachine(m.type, m.zone, m.spot)) {
      broken.add(now + " wrong_place: " + m);
    }
    int zone = 1;
    for (OnMachine onMachine : on) {
      if (!onMachine.job.equals(m.job)) {
        continue;
      }
      if (spec.oneZone() && !onMachine.zone.equals(m.zone)) {
        broken.add(now + " wrong_place, one zone: " + m);
      }
      if (onMachine.zone.equals(m.zone)) {
        zone++;
      }
    }
    if (spec.spread() && zone > (spec.tasks() + 1) / 2) {
      broken.add(now + " wrong_place, spread: " + m);
    }
    Long c = cancelledAt.get(m.job);
    if (c != null && now - c > cancelMs) {
      broken.add(now + " ran_cancelled: " + m);
    } else if (c != null) {
      startsAfterCancel++;
    }
    on.add(m);
    Team team = teams.get(spec.team());
    double sum = used(spec.team());
    if (team.cpusMax() > 0 && sum > team.cpusMax() + 1e-6) {
      broken.add(now + " quota: " + sum + " " + m);
    }
  }

  private double used(String team) {
    double sum = 0;
    for (OnMachine task : on) {
      if (jobs.get(task.job).team().equals(team)) {
        sum += jobs.get(task.job).cpus();
      }
    }
    return sum;
  }

  void left(String machine, String job, int task, boolean completed) {
    on.removeIf(
        onMachine ->
            onMachine.machine.equals(machine)
                && onMachine.job.equals(job)
                && onMachine.task == task);
    if (!completed) {
      return;
    }
    if (service(job)) {
      resultsOn.computeIfAbsent(new Replica(job, task), replica -> new HashSet<>()).add(machine);
    } else {
      done.computeIfAbsent(job, k -> new HashSet<>()).add(task);
    }
  }

  /** Whether the job is a service: a replica of it that completed has to run again. */
  boolean service(String job) {
    JobSpec spec = jobs.get(job);
    return spec != null && spec.service();
  }

  void machineUp(Machine machine) {
    up.put(machine.id, machine);
  }

  void machineGone(String machine) {
    up.remove(machine);
    on.removeIf(task -> task.machine.equals(machine));
  }

  void step(long now) {
    for (Map.Entry<String, Long> entry : answered.entrySet()) {
      String last = told.get(entry.getKey());
      boolean over = "done".equals(last) || "cancelled".equals(last);
      if (!over && now - 75_000 > Math.max(calmSince, entry.getValue())) {
        broken.add(now + " forgotten: no question about " + entry.getKey() + " is answered");
        entry.setValue(now);
      }
    }
    for (OnMachine task : on) {
      Long c = cancelledAt.get(task.job);
      if (c != null && now - c > cancelMs) {
        broken.add(now + " ran_cancelled: " + task);
        cancelledAt.put(task.job, now);
      }
    }
    for (JobSpec spec : jobs.values()) {
      if (now < calmSince || !waitsBesideRoom(spec)) {
        waitsSince.remove(spec.id());
        continue;
      }
      long since = waitsSince.computeIfAbsent(spec.id(), k -> now);
      if (now - since > WAITS_MS) {
        broken.add(now + " never_started: " + spec.id() + " beside room since " + since);
        waitsSince.put(spec.id(), now);
      }
    }
    for (JobSpec jobSpec : jobs.values()) {
      if (jobSpec.service()) {
        stepReplicas(now, jobSpec);
      }
    }
  }

  private void stepReplicas(long now, JobSpec service) {
    boolean wanted = now >= calmSince && wanted(service.id());
    for (int number = 0; number < service.tasks(); number++) {
      Replica replica = new Replica(service.id(), number);
      if (!wanted || runs(replica) || !roomFor(service, resultsOn(replica))) {
        missingSince.remove(replica);
        continue;
      }
      long since = missingSince.computeIfAbsent(replica, k -> now);
      if (now - since > REPLICA_MISSING_MS) {
        broken.add(now + " replica_missing: " + replica + " beside room since " + since);
        missingSince.put(replica, now);
      }
    }
  }

  private Set<String> resultsOn(Replica replica) {
    return resultsOn.getOrDefault(replica, Set.of());
  }

  private boolean runs(Replica replica) {
    for (OnMachine task : on) {
      if (task.job.equals(replica.job) && task.task == replica.number) {
        return true;
      }
    }
    return false;
  }

  /** How many replicas of the service are on machines. */
  int replicasOn(String service) {
    int count = 0;
    for (OnMachine task : on) {
      if (task.job.equals(service)) {
        count++;
      }
    }
    return count;
  }

  /** Accepted, not over, on no machine, and there is room for a task. */
  private boolean waitsBesideRoom(JobSpec spec) {
    if (!wanted(spec.id()) || tasksLeft(spec.id()) == 0) {
      return false;
    }
    for (OnMachine task : on) {
      if (task.job.equals(spec.id())) {
        return false;
      }
    }
    return roomFor(spec, Set.of());
  }

  /** Accepted, not over, and nobody has asked to cancel it. */
  private boolean wanted(String job) {
    String last = told.get(job);
    if (last == null || last.equals("done") || last.equals("cancelled")) {
      return false;
    }
    return !wantsCancel.contains(job);
  }

  /** Whether the team is under its limit and some other machine may take one more of the tasks. */
  private boolean roomFor(JobSpec spec, Set<String> excluded) {
    Team team = teams.get(spec.team());
    if (team.cpusMax() > 0 && used(spec.team()) + spec.cpus() > team.cpusMax() + 1e-6) {
      return false;
    }
    for (Machine machine : up.values()) {
      if (!spec.allowsMachine(machine.type, machine.zone, machine.spot)
          || !zoneAllowed(spec, machine.zone)) {
        continue;
      }
      if (excluded.contains(machine.id)) {
        continue;
      }
      double free = machine.cpus;
      for (OnMachine task : on) {
        if (task.machine.equals(machine.id)) {
          free -= jobs.get(task.job).cpus();
        }
      }
      if (free >= spec.cpus() - 1e-6) {
        return true;
      }
    }
    return false;
  }

  /** Whether one more task of the job may run in the zone beside those that do. */
  private boolean zoneAllowed(JobSpec spec, String zone) {
    int inZone = 1;
    for (OnMachine task : on) {
      if (!task.job.equals(spec.id())) {
        continue;
      }
      if (spec.oneZone() && !task.zone.equals(zone)) {
        return false;
      }
      if (task.zone.equals(zone)) {
        inZone++;
      }
    }
    return !spec.spread() || inZone <= (spec.tasks() + 1) / 2;
  }

  /** A job that can never run was answered so: refused for good, or for now while undecided. */
  void toldImpossible(long now, String job, int status) {
    if (status != 422 && status != 503) {
      broken.add(now + " took_impossible: " + job + " " + status);
    }
  }

  int tasksLeft(String job) {
    return jobs.get(job).tasks() - done.getOrDefault(job, Set.of()).size();
  }

  JobSpec spec(String job) {
    return jobs.get(job);
  }

  /** Jobs of which something is on a machine and that nobody has called off. */
  Set<String> running() {
    Set<String> out = new TreeSet<>();
    for (OnMachine task : on) {
      if (!wantsCancel.contains(task.job)) {
        out.add(task.job);
      }
    }
    return out;
  }

  Set<String> machinesOf(String job) {
    Set<String> out = new TreeSet<>();
    for (OnMachine task : on) {
      if (task.job.equals(job)) {
        out.add(task.machine);
      }
    }
    return out;
  }

  /** A user got this answer to a question asked at {@code asked}. */
  void told(long now, String job, int status, String state) {
    told(now, now, job, status, state);
  }

  void told(long now, long asked, String job, int status, String state) {
    String before = told.get(job);
    if (!jobs.containsKey(job)) {
      if (status == 200) {
        broken.add(now + " invented: " + job);
      }
      return;
    }
    if (before != null && (status == 404 || status == 400 || status == 422)) {
      String what = now + " forgotten: " + job + " " + status + ", asked at " + asked;
      boolean crossing = status == 404 && asked < toldFirst.get(job) && now - asked <= POLL_MS;
      if (crossing) {
        crossed.add(what);
      }
      if (!crossing || crossingsBreak) {
        broken.add(what);
      }
    }
    if (state == null) {
      return;
    }
    answered.put(job, now);
    boolean fin = "done".equals(before) || "cancelled".equals(before);
    if (fin && !before.equals(state)) {
      String what = now + " went_back: " + job + " " + before + " " + state;
      what += " since " + finalAt.get(job) + ", asked at " + asked;
      boolean crossing = asked < finalAt.get(job) && now - asked <= POLL_MS;
      if (crossing) {
        crossed.add(what);
      }
      if (crossing && !crossingsBreak) {
        return; // the user knows better already
      }
      broken.add(what);
    }
    if (state.equals("cancelled") && !wantsCancel.contains(job)) {
      broken.add(now + " went_back: " + job);
    }
    if (state.equals("done") && service(job)) {
      broken.add(now + " not_done: " + job + " is a service");
    } else if (state.equals("done")) {
      int n = done.getOrDefault(job, Set.of()).size();
      if (n < jobs.get(job).tasks()) {
        broken.add(now + " not_done: " + job + " has " + n);
      }
    }
    if (state.equals("cancelled")) {
      cancelledAt.putIfAbsent(job, now);
    }
    if (state.equals("done") || state.equals("cancelled")) {
      finalAt.putIfAbsent(job, now);
    }
    toldFirst.putIfAbsent(job, now);
    told.put(job, state);
  }

  String lastTold(String job) {
    return told.get(job);
  }
}
