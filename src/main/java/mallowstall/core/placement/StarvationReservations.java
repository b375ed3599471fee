package mallowstall.core.placement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import mallowstall.core.cluster.MachineView;
import mallowstall.core.kernel.EventClock;
import mallowstall.core.model.JobEntry;
import mallowstall.core.model.JobSpec;
import mallowstall.core.quota.QuotaLedger;

/**
 * Reserves machines for starving jobs whose tasks are too large for the capacity that other tasks
 * free a little at a time. For each machine type that is the smallest for some starving job, the
 * job with the largest tasks gets a reservation on the machine with the most free processors that
 * it may use. All controllers reserve at the same wall-clock times, whichever controller leads the
 * job. At other times the machine is available to all jobs.
 */
public final class StarvationReservations {
  /** Time from the start of one reservation window to the start of the next, in milliseconds. */
  private static final long PERIOD_MS = 90_000;

  /** Length of the reservation window at the start of each period, in milliseconds. */
  private static final long RESERVED_MS = 60_000;

  private final EventClock clock;
  private final QueuedWork queuedWork;
  private final QuotaLedger quotaLedger;

  /** Creates reservations for the starving jobs that {@code queuedWork} lists. */
  public StarvationReservations(EventClock clock, QueuedWork queuedWork, QuotaLedger quotaLedger) {
    this.clock = clock;
    this.queuedWork = queuedWork;
    this.quotaLedger = quotaLedger;
  }

  /**
   * Reserves capacity for the rest of the scheduling pass. The scheduler calls this after it has
   * placed the starving jobs.
   */
  void reserve(List<MachineView> machines) {
    if (clock.wallClockMs() % PERIOD_MS >= RESERVED_MS) {
      return;
    }
    for (JobEntry job : largestByType().values()) {
      MachineView emptiest = emptiestFor(job.spec(), machines);
      if (emptiest != null) {
        emptiest.reserve(job.spec(), 1);
      }
    }
  }

  /**
   * Returns, for each machine type that is the smallest for some starving job, the job with the
   * largest tasks among these.
   */
  private Map<String, JobEntry> largestByType() {
    Map<String, JobEntry> largest = new HashMap<>();
    for (QueuedWork.StarvingJob starving : queuedWork.starvingJobs()) {
      if (mayUseQuota(starving.entry())) {
        largest.merge(starving.smallestType(), starving.entry(), StarvationReservations::larger);
      }
    }
    return largest;
  }

  /** Returns whether the quota of the job's team may allow the job to start a task now or soon. */
  private boolean mayUseQuota(JobEntry job) {
    return !quotaLedger.hasQuota(job.spec())
        || job.quotaReservedTasks() > 0
        || quotaLedger.remainingTasks(job.spec()) > 0;
  }

  private static JobEntry larger(JobEntry first, JobEntry second) {
    int comparison = Double.compare(first.spec().cpus(), second.spec().cpus());
    if (comparison == 0) {
      comparison = Long.compare(second.submittedMs(), first.submittedMs());
    }
    return comparison >= 0 ? first : second;
  }

  private static MachineView emptiestFor(JobSpec spec, List<MachineView> machines) {
    MachineView emptiest = null;
    for (MachineView machine : machines) {
      boolean emptier = emptiest == null || machine.freeCpus() > emptiest.freeCpus();
      if (emptier && machine.allows(spec)) {
        emptiest = machine;
      }
    }
    return emptiest;
  }
}
