package mallowstall.core.placement;

import java.util.List;
import mallowstall.core.cluster.MachineView;
import mallowstall.core.model.JobSpec;

/** Places a job's tasks by one block of its policy, where there is free capacity. */
public final class BlockPlacer {
  private final MachineScoring scoring;
  private final QueuedWork queuedWork;
  private final StartSender startSender;

  /** Starts go to the sender, which sends those of a pass together. */
  public BlockPlacer(MachineScoring scoring, QueuedWork queuedWork, StartSender startSender) {
    this.scoring = scoring;
    this.queuedWork = queuedWork;
    this.startSender = startSender;
  }

  /** Starts what the block allows, at most so many tasks; returns how many were started. */
  int place(
      JobPlacement placement,
      Policy.Block block,
      List<MachineView> machines,
      int maxStarts,
      long now) {
    if (placement.pendingTasks() <= 0) {
      return 0;
    }
    List<MachineCandidate> candidates = scoring.rank(placement, block, machines, now);
    JobSpec spec = placement.spec();
    if (!spec.isService()) {
      return startOnCandidates(placement, block, candidates, Integer.MAX_VALUE, maxStarts, now);
    }
    int started = 0;
    // one failure takes few replicas if each machine gets a second one only after all have one
    for (int maxPerMachine = 1;
        maxPerMachine <= spec.tasks() && placement.pendingTasks() > 0 && started < maxStarts;
        maxPerMachine++) {
      int pendingBefore = placement.pendingTasks();
      started +=
          startOnCandidates(placement, block, candidates, maxPerMachine, maxStarts - started, now);
      if (placement.pendingTasks() == pendingBefore
          && maxPerMachine > placement.maxReplicasPerMachine()) {
        break;
      }
    }
    return started;
  }

  /** Starts tasks on these machines, at most so many of the job on each; returns how many. */
  private int startOnCandidates(
      JobPlacement placement,
      Policy.Block block,
      List<MachineCandidate> candidates,
      int maxPerMachine,
      int maxStarts,
      long now) {
    JobSpec spec = placement.spec();
    int started = 0;
    for (MachineCandidate candidate : candidates) {
      MachineView machine = candidate.machine();
      int fitting = placement.fittingTasks(machine, maxPerMachine);
      if (fitting <= 0) {
        continue;
      }
      if (!machine.status().images().contains(spec.image())) {
        // each cold machine adds its slots to those that will serve the image's other tasks
        if (scoring.isInvalidated(placement, block, machine, now)) {
          break;
        }
        queuedWork.addWarmMachine(machine, spec);
      }
      int startable = Math.min(fitting, Math.min(placement.freeQuotaTasks(), maxStarts - started));
      for (int i = 0; i < startable; i++) {
        int task = placement.pollTask(machine);
        if (task < 0) {
          return started;
        }
        startSender.enqueue(placement.ledJob(), task, machine, List.of());
        started++;
        placement.recordStart();
      }
      placement.assign(machine, fitting, fitting - startable);
      if (placement.pendingTasks() <= 0 || started >= maxStarts) {
        break;
      }
    }
    return started;
  }
}
