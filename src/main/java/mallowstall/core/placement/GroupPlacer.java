package mallowstall.core.placement;

import java.util.ArrayList;
import java.util.List;
import mallowstall.core.cluster.MachineView;
import mallowstall.core.jobs.LedJob;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Places the jobs of one group of a scheduling pass. All jobs try the first blocks of their
 * policies before any job tries its second block, and so on.
 */
public final class GroupPlacer {
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.placement");

  private final JobRanking ranking;
  private final QueuedWork queuedWork;
  private final PlacementBackoffs backoffs;
  private final JobPlacementFactory placementFactory;
  private final BlockPlacer blockPlacer;
  private final PreemptingPlacer preemptingPlacer;

  /**
   * The block placer uses free capacity. The preempting placer is called for jobs that found none.
   */
  public GroupPlacer(
      JobRanking ranking,
      QueuedWork queuedWork,
      PlacementBackoffs backoffs,
      JobPlacementFactory placementFactory,
      BlockPlacer blockPlacer,
      PreemptingPlacer preemptingPlacer) {
    this.ranking = ranking;
    this.queuedWork = queuedWork;
    this.backoffs = backoffs;
    this.placementFactory = placementFactory;
    this.blockPlacer = blockPlacer;
    this.preemptingPlacer = preemptingPlacer;
  }

  /**
   * Places the jobs of the group in their order. Returns the number of tasks started on free
   * capacity, at most {@code maxStarts}.
   */
  int place(List<LedJob> group, List<MachineView> machines, int maxStarts, long now) {
    List<JobPlacement> jobPlacements = createPlacements(group, machines, now);
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

  /**
   * Creates the placements of those jobs that aren't backing off, have quota left and needn't yield
   * to jobs of other controllers.
   */
  private List<JobPlacement> createPlacements(
      List<LedJob> group, List<MachineView> machines, long now) {
    List<JobPlacement> due = new ArrayList<>();
    for (LedJob ledJob : group) {
      boolean mayYield = !ranking.isStarving(ledJob) && !ledJob.spec().isService();
      // Without the check of the quota, a job whose team has used up its quota would search in each
      // pass for capacity that it can't use.
      boolean mustWait =
          backoffs.isWaiting(ledJob, now) || placementFactory.isQuotaExhausted(ledJob);
      if (mustWait || (mayYield && queuedWork.mustYield(ledJob, now))) {
        continue;
      }
      due.add(placementFactory.create(ledJob, machines));
    }
    return due;
  }

  /**
   * Evaluates the result of the job's blocks. Requests quota if the job needs more. If the job
   * found no capacity, records the failure for its backoff and tries to preempt other tasks.
   *
   * @param allTried whether all blocks were tried; if false, the limit of starts may have been
   *     reached before the job's turn
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
