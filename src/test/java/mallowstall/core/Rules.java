package mallowstall.core;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import mallowstall.core.Model.JobSpec;
import mallowstall.core.Model.Team;

/**
 * The slow plain model: what is on which machine and what users were told, checked at each step.
 */
final class Rules {
  record OnMachine(String machine, String job, int task, String type, String zone, boolean spot) {}

  final List<String> broken = new ArrayList<>();
  private final Map<String, JobSpec> jobs = new HashMap<>();
  private final Map<String, Team> teams;
  private final long cancelMs;
  private final List<OnMachine> on = new ArrayList<>();
  private final Map<String, Set<Integer>> done = new HashMap<>();
  private final Map<String, Long> cancelledAt = new HashMap<>();
  private final Map<String, String> told = new HashMap<>();
  private final Set<String> wantsCancel = new HashSet<>();
  private final Map<String, Long> answered = new HashMap<>();
  int starts;

  /** From here on no trouble is left: every accepted job's questions must be answered. */
  long calmSince = Long.MAX_VALUE;

  Rules(Map<String, Team> teams, long cancelMs) {
    this.teams = teams;
    this.cancelMs = cancelMs;
  }

  void submitted(JobSpec j) {
    jobs.put(j.id(), j);
  }

  void asksToCancel(String job) {
    wantsCancel.add(job);
  }

  void started(long now, OnMachine m) {
    starts++;
    JobSpec j = jobs.get(m.job);
    if (j == null) {
      broken.add(now + " invented: " + m);
      return;
    }
    for (OnMachine o : on) {
      if (o.job.equals(m.job) && o.task == m.task && !o.machine.equals(m.machine)) {
        broken.add(now + " ran_twice: " + m + " while on " + o.machine);
      }
    }
    if (!Owner.allowed(j, m.type, m.zone, m.spot)) broken.add(now + " wrong_place: " + m);
    int zone = 1;
    for (OnMachine o : on) {
      if (!o.job.equals(m.job)) continue;
      if (j.oneZone() && !o.zone.equals(m.zone)) broken.add(now + " wrong_place, one zone: " + m);
      if (o.zone.equals(m.zone)) zone++;
    }
    if (j.spread() && zone > (j.tasks() + 1) / 2) broken.add(now + " wrong_place, spread: " + m);
    Long c = cancelledAt.get(m.job);
    if (c != null && now - c > cancelMs) broken.add(now + " ran_cancelled: " + m);
    on.add(m);
    Team t = teams.get(j.team());
    double sum = 0;
    for (OnMachine o : on) {
      if (jobs.get(o.job).team().equals(j.team())) sum += jobs.get(o.job).cpus();
    }
    if (t.cpusMax() > 0 && sum > t.cpusMax() + 1e-6) broken.add(now + " quota: " + sum + " " + m);
  }

  void left(String machine, String job, int task, boolean completed) {
    on.removeIf(o -> o.machine.equals(machine) && o.job.equals(job) && o.task == task);
    if (completed) done.computeIfAbsent(job, k -> new HashSet<>()).add(task);
  }

  void machineGone(String machine) {
    on.removeIf(o -> o.machine.equals(machine));
  }

  void step(long now) {
    for (Map.Entry<String, Long> e : answered.entrySet()) {
      String last = told.get(e.getKey());
      boolean over = "done".equals(last) || "cancelled".equals(last);
      if (!over && now - 75_000 > Math.max(calmSince, e.getValue())) {
        broken.add(now + " forgotten: no question about " + e.getKey() + " is answered");
        e.setValue(now);
      }
    }
    for (OnMachine o : on) {
      Long c = cancelledAt.get(o.job);
      if (c != null && now - c > cancelMs) {
        broken.add(now + " ran_cancelled: " + o);
        cancelledAt.put(o.job, now);
      }
    }
  }

  /** A user got this answer to a question asked at {@code asked}. */
  void told(long now, String job, int status, String state) {
    String before = told.get(job);
    if (!jobs.containsKey(job)) {
      if (status == 200) broken.add(now + " invented: " + job);
      return;
    }
    if (before != null && (status == 404 || status == 400 || status == 422)) {
      broken.add(now + " forgotten: " + job + " " + status);
    }
    if (state == null) return;
    answered.put(job, now);
    boolean fin = "done".equals(before) || "cancelled".equals(before);
    if (fin && !before.equals(state))
      broken.add(now + " went_back: " + job + " " + before + " " + state);
    if (state.equals("cancelled") && !wantsCancel.contains(job))
      broken.add(now + " went_back: " + job);
    if (state.equals("done")) {
      int n = done.getOrDefault(job, Set.of()).size();
      if (n < jobs.get(job).tasks()) broken.add(now + " not_done: " + job + " has " + n);
    }
    if (state.equals("cancelled")) cancelledAt.putIfAbsent(job, now);
    told.put(job, state);
  }

  String lastTold(String job) {
    return told.get(job);
  }
}
