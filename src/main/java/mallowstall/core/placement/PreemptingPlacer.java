package mallowstall.core.placement;

import java.util.List;
import mallowstall.core.cluster.MachineView;
import mallowstall.core.jobs.LedJob;
import mallowstall.core.model.JobSpec;

/** Preempts tasks of other jobs to start tasks of a job that found no free capacity. */
public final class PreemptingPlacer {
  /** Maximum number of tasks of one job started in place of preempted tasks in one pass. */
  private static final int PREEMPTIONS_PER_PASS_MAX = 32;

  private final Preemption preemption;
  private final StartSender startSender;

  /** Creates a placer whose start requests name the victims that the machine leader stops. */
  public PreemptingPlacer(Preemption preemption, StartSender startSender) {
    this.preemption = preemption;
    this.startSender = startSender;
  }

  /**
   * Preempts tasks and starts pending tasks of the job in their place, if the job may preempt now.
   * Requests quota instead if the job's quota reservation covers no further task.
   */
  void place(JobPlacement placement, long now) {
    LedJob ledJob = placement.ledJob();
    if (!preemption.mayPreempt(ledJob, now)) {
      return;
    }
    if (placement.freeQuotaTasks() <= 0) {
      ledJob.requestQuota(Math.min(placement.pendingTasks(), PREEMPTIONS_PER_PASS_MAX));
      return;
    }
    ledJob.recordPreemption(now);
    int remainingStarts = PREEMPTIONS_PER_PASS_MAX;
    for (Preemption.PreemptionCandidate candidate :
        preemption.findCandidates(ledJob, placement.policy(), placement.chosenZone(), now)) {
      remainingStarts -= startOn(candidate, placement, remainingStarts, now);
      if (placement.pendingTasks() <= 0
          || placement.freeQuotaTasks() <= 0
          || remainingStarts <= 0) {
        return;
      }
    }
  }

  /**
   * Starts at most {@code maxStarts} tasks on the candidate's machine in place of its victims.
   * Returns the number of tasks started.
   */
  private int startOn(
      Preemption.PreemptionCandidate candidate, JobPlacement placement, int maxStarts, long now) {
    JobSpec spec = placement.spec();
    MachineView machine = candidate.machine();
    String zone = machine.status().zone();
    // chosenZone is null if no zone has free capacity; then the first start determines the zone
    if (spec.singleZone()
        && placement.chosenZone() != null
        && !zone.equals(placement.chosenZone())) {
      return 0;
    }
    int remainingInZone = placement.remainingInZone(zone);
    if (remainingInZone <= 0 || placement.servableTasks(machine) <= 0) {
      return 0;
    }
    preemption.releaseVictimCapacity(placement.ledJob(), candidate, now);
    int startable =
        Math.min(
            Math.min(placement.servableTasks(machine), machine.fittingTasks(spec)),
            Math.min(placement.freeQuotaTasks(), maxStarts));
    int started = 0;
    while (started < Math.min(startable, remainingInZone)) {
      int task = placement.pollTask(machine);
      if (task < 0) {
        return started;
      }
      startSender.enqueue(
          placement.ledJob(), task, machine, started == 0 ? candidate.victimAttempts() : List.of());
      placement.recordPreemptingStart(zone);
      started++;
    }
    return started;
  }
}
