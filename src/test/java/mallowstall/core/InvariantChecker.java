package mallowstall.core;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Supplier;
import mallowstall.core.model.JobSpec;
import mallowstall.core.model.Team;

/**
 * A simple, slow reference model of the tasks on each machine and of the answers that users
 * received. The rules are checked at each step. Each violation is recorded as a text of the
 * simulated time in milliseconds, the name of the violated rule, and details.
 */
final class InvariantChecker {
  /** A task that is on a machine. */
  record RunningTask(
      String machineId, String jobId, int task, String type, String zone, boolean spot) {}

  /** A replica of a service. */
  private record Replica(String job, int number) {}

  /** A machine that is up; {@code cpus} is its total number of CPUs. */
  record Machine(String id, String type, String zone, boolean spot, double cpus) {}

  /**
   * Maximum time in milliseconds that a job may wait despite free capacity after the faults have
   * ended.
   */
  static final long MAX_PENDING_MS = 90_000;

  /**
   * Maximum time in milliseconds that a replica may be on no machine despite free capacity after
   * the faults have ended.
   */
  static final long MAX_REPLICA_MISSING_MS = 30_000;

  final List<String> violations = new ArrayList<>();
  private final Map<String, JobSpec> jobs = new HashMap<>();
  private final Map<String, Team> teams;
  private final long cancelMs;
  private final TasksOnMachines runningTasks = new TasksOnMachines();
  private final Map<String, Set<Integer>> completedTasks = new HashMap<>();
  private final Map<String, Long> cancelConfirmedMs = new HashMap<>();
  private final Map<String, Long> terminalStateMs = new HashMap<>();
  private final Map<String, String> lastReportedState = new HashMap<>();
  private final Set<String> cancelRequested = new HashSet<>();
  private final Map<String, Long> lastAnswerMs = new HashMap<>();
  private final PollHistory polls = new PollHistory();
  private final Map<String, Machine> machinesUp = new TreeMap<>();
  private final Map<String, Long> pendingSinceMs = new HashMap<>();
  private final Map<Replica, Long> replicaMissingSinceMs = new HashMap<>();

  /** The machines that keep a replica's result; a new start of the replica there ends at once. */
  private final Map<Replica, Set<String>> machinesWithResult = new HashMap<>();

  /** The reference for pending and running; if it is null, these states are not checked. */
  private RunStateHistory runStates;

  /** Tasks that take room while a long fetch of their image is under way. */
  Supplier<List<RunningTask>> fetchingTasks = List::of;

  int startCount;

  /**
   * Number of starts at most {@code cancelMs} after a cancellation was confirmed, which may have
   * been under way at that time.
   */
  int startsAfterCancelCount;

  /**
   * Time in milliseconds at which the faults have ended. From then on every query about an accepted
   * job must be answered.
   */
  long faultsEndedMs = Long.MAX_VALUE;

  InvariantChecker(Map<String, Team> teams, long cancelMs) {
    this.teams = teams;
    this.cancelMs = cancelMs;
  }

  /** Checks from now on that pending and running are told only while they are recent. */
  void checkRunStates(RunStateHistory history) {
    runStates = history;
    runningTasks.setHistory(history);
  }

  void onSubmitted(JobSpec spec) {
    jobs.put(spec.id(), spec);
  }

  void onCancelRequested(String job) {
    cancelRequested.add(job);
  }

  /** Returns whether a user has requested the cancellation of the job. */
  boolean isCancelRequested(String job) {
    return cancelRequested.contains(job);
  }

  void onStarted(long now, RunningTask startedTask) {
    startCount++;
    JobSpec spec = jobs.get(startedTask.jobId);
    if (spec == null) {
      violations.add(now + " invented: " + startedTask);
      return;
    }
    for (RunningTask task : runningTasks.of(startedTask.jobId)) {
      if (task.task == startedTask.task && !task.machineId.equals(startedTask.machineId)) {
        violations.add(now + " ran_twice: " + startedTask + " while on " + task.machineId);
      }
    }
    if (!spec.allowsMachine(startedTask.type, startedTask.zone, startedTask.spot)) {
      violations.add(now + " wrong_place: " + startedTask);
    }
    int tasksInZone = 1;
    for (RunningTask onMachine : runningTasks.of(startedTask.jobId)) {
      if (spec.singleZone() && !onMachine.zone.equals(startedTask.zone)) {
        violations.add(now + " wrong_place, one zone: " + startedTask);
      }
      if (onMachine.zone.equals(startedTask.zone)) {
        tasksInZone++;
      }
    }
    if (spec.spread() && tasksInZone > (spec.tasks() + 1) / 2) {
      violations.add(now + " wrong_place, spread: " + startedTask);
    }
    Long cancelConfirmed = cancelConfirmedMs.get(startedTask.jobId);
    if (cancelConfirmed != null && now - cancelConfirmed > cancelMs) {
      violations.add(now + " ran_cancelled: " + startedTask);
    } else if (cancelConfirmed != null) {
      startsAfterCancelCount++;
    }
    runningTasks.add(startedTask);
    Team team = teams.get(spec.team());
    double sum = usedCpus(spec.team());
    if (team.cpuQuota() > 0 && sum > team.cpuQuota() + 1e-6) {
      violations.add(now + " quota: " + sum + " " + startedTask);
    }
  }

  /** Records that a worker starts an attempt that it has had before and doesn't list any more. */
  void onFormerAttemptStarted(long now, String machine, String attempt) {
    violations.add(now + " former attempt started again: " + attempt + " on " + machine);
  }

  private double usedCpus(String team) {
    double sum = 0;
    for (RunningTask task : runningTasks.all()) {
      if (jobs.get(task.jobId).team().equals(team)) {
        sum += jobs.get(task.jobId).cpus();
      }
    }
    return sum;
  }

  void onStopped(String machine, String job, int task, boolean completed) {
    runningTasks.removeIf(
        onMachine ->
            onMachine.machineId.equals(machine)
                && onMachine.jobId.equals(job)
                && onMachine.task == task);
    if (!completed) {
      return;
    }
    if (isService(job)) {
      machinesWithResult
          .computeIfAbsent(new Replica(job, task), replica -> new HashSet<>())
          .add(machine);
    } else {
      completedTasks.computeIfAbsent(job, k -> new HashSet<>()).add(task);
    }
  }

  /** Returns whether the job is a service, of which a completed replica has to run again. */
  boolean isService(String job) {
    JobSpec spec = jobs.get(job);
    return spec != null && spec.isService();
  }

  void onMachineUp(Machine machine) {
    machinesUp.put(machine.id, machine);
  }

  void onMachineTerminated(String machine) {
    machinesUp.remove(machine);
    runningTasks.removeIf(task -> task.machineId.equals(machine));
  }

  /** Records whether a user's poll of an accepted job was answered with a state. */
  void onPoll(long now, String job, boolean answered) {
    polls.record(now, job, answered);
  }

  void check(long now) {
    for (String job : polls.takeForgotten(now)) {
      if (!hasEnded(job)) {
        violations.add(now + " forgotten: every poll for " + job + " fails, most others don't");
      }
    }
    for (Map.Entry<String, Long> entry : lastAnswerMs.entrySet()) {
      if (!hasEnded(entry.getKey()) && now - 75_000 > Math.max(faultsEndedMs, entry.getValue())) {
        violations.add(now + " forgotten: no query about " + entry.getKey() + " is answered");
        entry.setValue(now);
      }
    }
    for (RunningTask task : runningTasks.all()) {
      Long cancelConfirmed = cancelConfirmedMs.get(task.jobId);
      if (cancelConfirmed != null && now - cancelConfirmed > cancelMs) {
        violations.add(now + " ran_cancelled: " + task);
        cancelConfirmedMs.put(task.jobId, now);
      }
    }
    for (JobSpec spec : jobs.values()) {
      if (now < faultsEndedMs || !isPendingDespiteCapacity(spec)) {
        pendingSinceMs.remove(spec.id());
        continue;
      }
      long since = pendingSinceMs.computeIfAbsent(spec.id(), k -> now);
      if (now - since > MAX_PENDING_MS) {
        violations.add(now + " never_started: " + spec.id() + " despite capacity since " + since);
        pendingSinceMs.put(spec.id(), now);
      }
    }
    for (JobSpec jobSpec : jobs.values()) {
      if (jobSpec.isService()) {
        checkReplicas(now, jobSpec);
      }
    }
  }

  private void checkReplicas(long now, JobSpec service) {
    boolean mustRun = now >= faultsEndedMs && shouldRun(service.id());
    for (int number = 0; number < service.tasks(); number++) {
      Replica replica = new Replica(service.id(), number);
      if (!mustRun || isRunning(replica) || !hasCapacityFor(service, machinesWithResult(replica))) {
        replicaMissingSinceMs.remove(replica);
        continue;
      }
      long since = replicaMissingSinceMs.computeIfAbsent(replica, k -> now);
      if (now - since > MAX_REPLICA_MISSING_MS) {
        violations.add(now + " replica_missing: " + replica + " despite capacity since " + since);
        replicaMissingSinceMs.put(replica, now);
      }
    }
  }

  private Set<String> machinesWithResult(Replica replica) {
    return machinesWithResult.getOrDefault(replica, Set.of());
  }

  private boolean isRunning(Replica replica) {
    return runningTasks.of(replica.job).stream().anyMatch(task -> task.task == replica.number);
  }

  /** Returns the number of replicas of the service that are on machines. */
  int runningReplicas(String service) {
    return runningTasks.of(service).size();
  }

  /**
   * Returns whether an accepted, open job is on no machine although capacity for a task is free.
   */
  private boolean isPendingDespiteCapacity(JobSpec spec) {
    if (!shouldRun(spec.id()) || remainingTasks(spec.id()) == 0) {
      return false;
    }
    boolean isFetching =
        fetchingTasks.get().stream().anyMatch(task -> task.jobId.equals(spec.id()));
    return runningTasks.of(spec.id()).isEmpty() && !isFetching && hasCapacityFor(spec, Set.of());
  }

  /** Returns whether the job is accepted, not over, and without a requested cancellation. */
  private boolean shouldRun(String job) {
    boolean accepted = lastReportedState.containsKey(job);
    return accepted && !hasEnded(job) && !cancelRequested.contains(job);
  }

  /**
   * Returns whether the team's quota and a machine that is not excluded allow one more task of the
   * job.
   */
  private boolean hasCapacityFor(JobSpec spec, Set<String> excluded) {
    Team team = teams.get(spec.team());
    if (team.cpuQuota() > 0 && usedCpus(spec.team()) + spec.cpus() > team.cpuQuota() + 1e-6) {
      return false;
    }
    for (Machine machine : machinesUp.values()) {
      if (!spec.allowsMachine(machine.type, machine.zone, machine.spot)
          || !mayRunInZone(spec, machine.zone)) {
        continue;
      }
      if (excluded.contains(machine.id)) {
        continue;
      }
      double free = machine.cpus;
      for (RunningTask task : runningTasks.all()) {
        if (task.machineId.equals(machine.id)) {
          free -= jobs.get(task.jobId).cpus();
        }
      }
      for (RunningTask task : fetchingTasks.get()) {
        free -= task.machineId.equals(machine.id) ? jobs.get(task.jobId).cpus() : 0;
      }
      if (free >= spec.cpus() - 1e-6) {
        return true;
      }
    }
    return false;
  }

  /** Returns whether the job's other running tasks allow one more task in the zone. */
  private boolean mayRunInZone(JobSpec spec, String zone) {
    int inZone = 1;
    for (RunningTask task : runningTasks.of(spec.id())) {
      if (spec.singleZone() && !task.zone.equals(zone)) {
        return false;
      }
      if (task.zone.equals(zone)) {
        inZone++;
      }
    }
    return !spec.spread() || inZone <= (spec.tasks() + 1) / 2;
  }

  /**
   * Checks the status of the answer to a job that can never run: 422 rejects the job for good, 503
   * leaves the decision open for now.
   */
  void onUnplaceableAnswer(long now, String job, int status) {
    if (status != 422 && status != 503) {
      violations.add(now + " took_impossible: " + job + " " + status);
    }
  }

  int remainingTasks(String job) {
    return jobs.get(job).tasks() - completedTasks.getOrDefault(job, Set.of()).size();
  }

  JobSpec spec(String job) {
    return jobs.get(job);
  }

  /** Returns the jobs with tasks on machines and without a requested cancellation. */
  Set<String> runningJobs() {
    Set<String> out = new TreeSet<>();
    for (RunningTask task : runningTasks.all()) {
      if (!cancelRequested.contains(task.jobId)) {
        out.add(task.jobId);
      }
    }
    return out;
  }

  Set<String> machinesOf(String job) {
    Set<String> out = new TreeSet<>();
    runningTasks.of(job).forEach(task -> out.add(task.machineId));
    return out;
  }

  /** Checks an answer that a user receives at the time of the request. */
  void onAnswer(long now, String job, int status, String state) {
    onAnswer(now, now, job, status, state);
  }

  /**
   * Checks an answer that a user receives at {@code now} to a request sent at {@code requestedMs}.
   */
  void onAnswer(long now, long requestedMs, String job, int status, String state) {
    String before = lastReportedState.get(job);
    if (!jobs.containsKey(job)) {
      if (status == 200) {
        violations.add(now + " invented: " + job);
      }
      return;
    }
    if (before != null && (status == 404 || status == 400 || status == 422)) {
      violations.add(now + " forgotten: " + job + " " + status + ", requested at " + requestedMs);
    }
    if (state == null) {
      return;
    }
    lastAnswerMs.put(job, now);
    boolean isOpen = state.equals("pending") || state.equals("running");
    if (isOpen && runStates != null && !runStates.isRecent(job, state)) {
      long forMs = runStates.unchangedForMs(job);
      violations.add(now + " stale_state: " + job + " " + state + ", untrue for " + forMs + " ms");
    }
    if (hasEnded(job) && !before.equals(state)) {
      String violation = now + " went_back: " + job + " " + before + " " + state;
      violation += " since " + terminalStateMs.get(job) + ", requested at " + requestedMs;
      violations.add(violation);
    }
    if (state.equals("cancelled") && !cancelRequested.contains(job)) {
      violations.add(now + " went_back: " + job);
    }
    if (state.equals("done") && isService(job)) {
      violations.add(now + " not_done: " + job + " is a service");
    } else if (state.equals("done")) {
      int completedCount = completedTasks.getOrDefault(job, Set.of()).size();
      if (completedCount < jobs.get(job).tasks()) {
        violations.add(now + " not_done: " + job + " has " + completedCount);
      }
    }
    if (state.equals("cancelled")) {
      cancelConfirmedMs.putIfAbsent(job, now);
    }
    if (state.equals("done") || state.equals("cancelled")) {
      terminalStateMs.putIfAbsent(job, now);
    }
    lastReportedState.put(job, state);
  }

  /** Returns whether the last state in an answer to a user is done or cancelled. */
  boolean hasEnded(String job) {
    String last = lastReportedState.get(job);
    return "done".equals(last) || "cancelled".equals(last);
  }

  String lastState(String job) {
    return lastReportedState.get(job);
  }
}
