package mallowstall.core.placement;

import java.util.List;
import mallowstall.core.cluster.MachineView;
import mallowstall.core.model.JobSpec;

/** Places a job's tasks on free capacity by one block of the job's policy. */
public final class BlockPlacer {
  private final MachineScoring scoring;
  private final QueuedWork queuedWork;
  private final StartSender startSender;

  /** Starts are queued in the sender, which sends all starts of a pass together. */
  public BlockPlacer(MachineScoring scoring, QueuedWork queuedWork, StartSender startSender) {
    this.scoring = scoring;
    this.queuedWork = queuedWork;
    this.startSender = startSender;
  }

  /**
   * Starts pending tasks of the job on the machines that the block accepts, at most {@code
   * maxStarts} of them. Returns the number of started tasks.
   */
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
    // No machine receives a second replica before each candidate has one, so that the failure of
    // one machine ends few replicas.
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

  /**
   * Starts tasks on the candidates. A service has at most {@code maxPerMachine} replicas on each
   * machine. Returns the number of started tasks.
   */
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
        // Checks the block again: each machine without the image that receives tasks will have the
        // image and shortens the time in which the image's queued tasks are served.
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
