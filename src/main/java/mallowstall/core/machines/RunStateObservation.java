package mallowstall.core.machines;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import mallowstall.core.kernel.EventClock;
import mallowstall.core.model.RunObservation;
import mallowstall.core.model.RunStateQuestion;
import mallowstall.core.model.UnknownCause;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One question about the running tasks of a job on this controller's machines, until it is
 * answered. Machines whose last report is too old are inspected: first those that may decide the
 * answer alone, then all others, and again those whose reports have become too old meanwhile.
 * Mutable.
 */
final class RunStateObservation implements InspectionQueue.Question {
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.machines");

  /**
   * Time in milliseconds that an observation may take. The job's leader and the controller that a
   * user has asked wait for it with less than a second in all.
   */
  private static final long OBSERVATION_TIME_MAX_MS = 700;

  /** Maximum number of machines that are inspected because they may decide the answer alone. */
  private static final int DECISIVE_INSPECTIONS_MAX = 4;

  /** Maximum number of machines that one log line describes. */
  private static final int LOGGED_GAPS_MAX = 5;

  private final EventClock clock;
  private final ManagedMachines machines;
  private final MachineRunStates runStates;
  private final InspectionQueue inspections;
  private final RunStateQuestion question;
  private final List<ManagedMachine> candidates;

  /** Whether the candidates are all machines that the question names. */
  private final boolean isComplete;

  private final ArrayDeque<ManagedMachine> machinesToInspect = new ArrayDeque<>();
  private Consumer<RunObservation> callback;
  private boolean decisiveInspected;
  private int inspectionsInProgress;

  /**
   * Creates an observation that asks nobody before {@link #begin}.
   *
   * @param isComplete whether no task of the job can be on other machines than the candidates
   */
  RunStateObservation(
      EventClock clock,
      ManagedMachines machines,
      MachineRunStates runStates,
      InspectionQueue inspections,
      RunStateQuestion question,
      List<ManagedMachine> candidates,
      boolean isComplete,
      Consumer<RunObservation> callback) {
    this.clock = clock;
    this.machines = machines;
    this.runStates = runStates;
    this.inspections = inspections;
    this.question = question;
    this.candidates = candidates;
    this.isComplete = isComplete;
    this.callback = callback;
  }

  /** Answers the question from the last reports if they suffice, or else asks for newer ones. */
  void begin() {
    if (answerIfObserved()) {
      return;
    }
    clock.schedule(OBSERVATION_TIME_MAX_MS, this::answerUnknown);
    inspectStaleMachines();
  }

  /** Inspects machines in a first or a further round, or ends the observation. */
  private void inspectStaleMachines() {
    // What is still new enough now has to be so at the end.
    List<ManagedMachine> stale =
        staleMachines(Math.max(0, question.maxAgeMs() - OBSERVATION_TIME_MAX_MS));
    List<ManagedMachine> decisive = decisiveMachines(stale);
    if (!decisiveInspected && !decisive.isEmpty()) {
      decisiveInspected = true;
      inspect(decisive);
    } else if (isComplete && !stale.isEmpty() && stale.stream().noneMatch(this::isSilent)) {
      inspect(stale);
    } else {
      answerUnknown();
    }
  }

  private void inspect(List<ManagedMachine> machines) {
    machinesToInspect.addAll(machines);
    inspections.add(this);
  }

  private List<ManagedMachine> staleMachines(long maxAgeMs) {
    long idleSinceMs = latestIdleSinceMs();
    List<ManagedMachine> stale = new ArrayList<>();
    for (ManagedMachine machine : candidates) {
      long atMs = observed(machine).atMs();
      if (clock.now() - atMs > maxAgeMs || atMs < idleSinceMs) {
        stale.add(machine);
      }
    }
    return stale;
  }

  private RunObservation observed(ManagedMachine machine) {
    return runStates.observed(machine, question.job());
  }

  /**
   * Returns some machines that may decide the answer alone: one that still runs tasks of the job,
   * and one that can't be heard, without which nothing can be told of the others.
   */
  private List<ManagedMachine> decisiveMachines(List<ManagedMachine> stale) {
    return stale.stream()
        .filter(InspectionQueue::canInspect)
        .filter(machine -> !isComplete || showsRunningTasks(machine) || isSilent(machine))
        .limit(DECISIVE_INSPECTIONS_MAX)
        .toList();
  }

  private boolean showsRunningTasks(ManagedMachine machine) {
    return observed(machine).isRunning();
  }

  private boolean isSilent(ManagedMachine machine) {
    return !InspectionQueue.canInspect(machine)
        || machine.inspection().failedAtMs() > machine.lastHeartbeatMs()
        || (machines.unresponsive(machine) && !isRecent(observed(machine)));
  }

  /** Returns the latest time from which on no task was running on one of the candidates. */
  private long latestIdleSinceMs() {
    long latestMs = Long.MIN_VALUE;
    for (ManagedMachine machine : candidates) {
      RunObservation observed = observed(machine);
      if (observed.isIdle()) {
        latestMs = Math.max(latestMs, observed.sinceMs());
      }
    }
    return latestMs;
  }

  @Override
  public ManagedMachine nextMachine() {
    ManagedMachine machine = callback == null ? null : machinesToInspect.poll();
    if (machine != null) {
      inspectionsInProgress++;
    }
    return machine;
  }

  @Override
  public void inspectionEnded(ManagedMachine machine) {
    inspectionsInProgress--;
    if (callback == null) {
      return;
    }
    boolean isRoundOver = inspectionsInProgress == 0 && machinesToInspect.isEmpty();
    if (!isRoundOver && !showsRunningTasks(machine)) {
      return;
    }
    if (!answerIfObserved() && isRoundOver) {
      inspectStaleMachines();
    }
  }

  private boolean answerIfObserved() {
    RunObservation running = runStates.latestRunning(candidates, question.job());
    if (running.isRunning() && isRecent(running)) {
      answer(running);
      return true;
    }
    if (!isComplete) {
      return false;
    }
    RunObservation combined = RunObservation.idle(Long.MIN_VALUE, clock.now());
    for (ManagedMachine machine : candidates) {
      combined = combined.andIdle(observed(machine));
    }
    if (!isRecent(combined)) {
      return false;
    }
    answer(combined);
    return true;
  }

  private boolean isRecent(RunObservation observed) {
    return observed.isKnown() && clock.now() - observed.atMs() <= question.maxAgeMs();
  }

  private void answerUnknown() {
    if (callback == null) {
      return;
    }
    List<ManagedMachine> stale = staleMachines(question.maxAgeMs());
    UnknownCause cause = unknownCause(stale);
    LOG.debug(
        "job not observed job={} cause={} machines={} led={} stale={} since_end_ms={} missing={}",
        question.job(),
        cause,
        question.machines().size(),
        candidates.size(),
        stale.size(),
        clock.now() - Math.max(0, latestIdleSinceMs()),
        reportGaps(stale));
    answer(RunObservation.unknown(cause));
  }

  /** Describes why the reports of some of the machines don't count, for the log. */
  private List<ReportGap> reportGaps(List<ManagedMachine> stale) {
    return stale.stream()
        .limit(LOGGED_GAPS_MAX)
        .map(machine -> ReportGap.of(machine, observed(machine), clock.now()))
        .toList();
  }

  private UnknownCause unknownCause(List<ManagedMachine> stale) {
    if (!isComplete) {
      return UnknownCause.NOT_LEADER;
    }
    if (stale.isEmpty()) {
      return UnknownCause.NO_COMMON_MOMENT;
    }
    return machinesToInspect.isEmpty()
        ? UnknownCause.REPORT_TOO_OLD
        : UnknownCause.INSPECTION_LIMIT;
  }

  private void answer(RunObservation observation) {
    Consumer<RunObservation> answered = callback;
    callback = null;
    answered.accept(observation);
  }
}
