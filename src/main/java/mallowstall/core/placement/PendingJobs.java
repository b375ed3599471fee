package mallowstall.core.placement;

import java.util.ArrayList;
import java.util.List;
import mallowstall.core.jobs.JobLeader;
import mallowstall.core.jobs.LedJob;

/** The led jobs that a scheduling pass tries to place, in the order of their ranking. Mutable. */
public final class PendingJobs {
  private final JobLeader jobLeader;
  private final JobRanking ranking;
  private final PlacementBackoffs backoffs;
  private final List<LedJob> pendingJobs = new ArrayList<>();

  /** There are no pending jobs before the first {@link #collect}. */
  public PendingJobs(JobLeader jobLeader, JobRanking ranking, PlacementBackoffs backoffs) {
    this.jobLeader = jobLeader;
    this.ranking = ranking;
    this.backoffs = backoffs;
  }

  /**
   * Collects the jobs whose pending tasks may be started at this time, in milliseconds of the
   * steady clock. Returns whether any of the jobs isn't backing off.
   */
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

  /** Sorts the collected jobs by their ranking. */
  void sort() {
    pendingJobs.sort(ranking::compare);
  }

  /** Returns whether the jobs of the group are starving. */
  boolean isStarving(List<LedJob> group) {
    return ranking.isStarving(group.get(0));
  }

  /**
   * Returns the sorted jobs in groups of consecutive jobs with equal priority. Starving jobs and
   * other jobs are in separate groups.
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
