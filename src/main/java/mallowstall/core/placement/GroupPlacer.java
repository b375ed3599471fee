package mallowstall.core.placement;

import java.util.ArrayList;
import java.util.List;
import mallowstall.core.cluster.MachineView;
import mallowstall.core.jobs.LedJob;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Places the jobs of one group of a scheduling pass: every job tries a block before the next. */
public final class GroupPlacer {
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.placement");

  private final JobRanking ranking;
  private final QueuedWork queuedWork;
  private final PlacementBackoffs backoffs;
  private final JobPlacements placements;
  private final BlockPlacer blockPlacer;
  private final PreemptingPlacer preemptingPlacer;

  /** The block placer fills free capacity; the preempting one follows where there was none. */
  public GroupPlacer(
      JobRanking ranking,
      QueuedWork queuedWork,
      PlacementBackoffs backoffs,
      JobPlacements placements,
      BlockPlacer blockPlacer,
      PreemptingPlacer preemptingPlacer) {
    this.ranking = ranking;
    this.queuedWork = queuedWork;
    this.backoffs = backoffs;
    this.placements = placements;
    this.blockPlacer = blockPlacer;
    this.preemptingPlacer = preemptingPlacer;
  }

  /**
   * Places the jobs of the group in their order; returns the number of starts, which is limited.
   */
  int place(List<LedJob> group, List<MachineView> machines, int maxStarts, long now) {
    List<JobPlacement> jobPlacements = beginDue(group, machines, now);
    int blockCount = 0;
    for (JobPlacement placement : jobPlacements) {
      blockCount = Math.max(blockCount, placement.policy().blocks().size());
    }
    int started = 0;
    for (int i = 0; i < blockCount; i++) {
      for (JobPlacement placement : jobPlacements) {
        List<Policy.Block> blocks = placement.policy().blocks();
        if (i < blocks.size() && started < maxStarts) {
          started +=
              blockPlacer.place(placement, blocks.get(i), machines, maxStarts - started, now);
        }
      }
    }
    boolean allTried = started < maxStarts;
    for (JobPlacement placement : jobPlacements) {
      finish(placement, allTried, now);
    }
    return started;
  }

  /** Placements of the jobs that neither wait nor yield to other controllers' jobs. */
  private List<JobPlacement> beginDue(List<LedJob> group, List<MachineView> machines, long now) {
    List<JobPlacement> due = new ArrayList<>();
    for (LedJob ledJob : group) {
      boolean mayYield = !ranking.isStarving(ledJob) && !ledJob.spec().isService();
      // at each pass they would look for room that their team's limit doesn't let them use
      boolean mustWait = backoffs.isWaiting(ledJob, now) || placements.isQuotaExhausted(ledJob);
      if (mustWait || (mayYield && queuedWork.mustYield(ledJob, now))) {
        continue;
      }
      due.add(placements.begin(ledJob, machines));
    }
    return due;
  }

  /**
   * Asks for quota, or backs off and preempts, as the result of the job's blocks demands.
   *
   * @param allTried whether every block was tried; else the pass may have used up its starts before
   *     the job's turn
   */
  private void finish(JobPlacement placement, boolean allTried, long now) {
    LedJob ledJob = placement.ledJob();
    if (placement.isQuotaBlocked()) {
      ledJob.requestQuota(placement.quotaBlockedTasks());
    }
    if (placement.startedTasks() > 0) {
      ledJob.recordQuotaUse();
      backoffs.recordSuccess(ledJob);
    } else if (placement.quotaBlockedTasks() == 0 && allTried) {
      if (LOG.isDebugEnabled()) {
        LOG.debug(
            "job found no capacity job={} pending={} active={} rejectedMachines={}",
            ledJob.id(),
            placement.pendingTasks(),
            ledJob.activeAttempts().size(),
            placement.rejectedCandidates());
      }
      backoffs.recordFailure(ledJob);
      preemptingPlacer.place(placement, now);
    }
  }
}
