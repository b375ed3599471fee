package mallowstall.core.placement;

import java.util.ArrayList;
import java.util.List;
import mallowstall.core.jobs.JobLeader;
import mallowstall.core.jobs.LedJob;

/** The led jobs that a scheduling pass tries to place, in the order in which they come. Mutable. */
public final class PendingJobs {
  private final JobLeader jobLeader;
  private final JobRanking ranking;
  private final PlacementBackoffs backoffs;
  private final List<LedJob> pendingJobs = new ArrayList<>();

  /** Empty until jobs are collected. */
  public PendingJobs(JobLeader jobLeader, JobRanking ranking, PlacementBackoffs backoffs) {
    this.jobLeader = jobLeader;
    this.ranking = ranking;
    this.backoffs = backoffs;
  }

  /** Collects the jobs that have pending tasks; whether any of them isn't backing off. */
  boolean collect(long now) {
    pendingJobs.clear();
    boolean anyDue = false;
    for (LedJob ledJob : jobLeader.jobs()) {
      if (ledJob.spec().isService()) {
        ledJob.relocations().expire(now);
      }
      if (ledJob.recovered()
          && !ledJob.finished()
          && ledJob.pending() > 0
          && now >= ledJob.startNotBeforeMs()) {
        pendingJobs.add(ledJob);
        anyDue |= !backoffs.isWaiting(ledJob, now);
      }
    }
    return anyDue;
  }

  /** Puts the collected jobs into the order of their ranking. */
  void sort() {
    pendingJobs.sort(ranking::compare);
  }

  /** Whether the jobs of the group starve. */
  boolean isStarving(List<LedJob> group) {
    return ranking.isStarving(group.get(0));
  }

  /**
   * The collected jobs in their order: those of one priority together, starving ones as a group of
   * their own.
   */
  List<List<LedJob>> groups() {
    List<List<LedJob>> groups = new ArrayList<>();
    LedJob previous = null;
    for (LedJob ledJob : pendingJobs) {
      boolean sameGroup =
          previous != null
              && previous.spec().priority() == ledJob.spec().priority()
              && ranking.isStarving(previous) == ranking.isStarving(ledJob);
      if (!sameGroup) {
        groups.add(new ArrayList<>());
      }
      groups.get(groups.size() - 1).add(ledJob);
      previous = ledJob;
    }
    return groups;
  }
}
