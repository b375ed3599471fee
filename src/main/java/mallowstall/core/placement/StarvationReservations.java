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
 * Lets a machine drain for a starving job whose tasks are too large for what becomes free bit by
 * bit: of each machine type the emptiest one that the job may use is reserved. All controllers do
 * so at the same times of day, whoever leads the job; at other times the machine is everybody's.
 */
public final class StarvationReservations {
  /** ms. From the beginning of one time of reservations to the next. */
  private static final long PERIOD_MS = 90_000;

  /** ms. So long of each period a machine drains. */
  private static final long RESERVED_MS = 60_000;

  private final EventClock clock;
  private final QueuedWork queuedWork;
  private final QuotaLedger quotaLedger;

  /** Queued work knows the starving jobs of all controllers. */
  public StarvationReservations(EventClock clock, QueuedWork queuedWork, QuotaLedger quotaLedger) {
    this.clock = clock;
    this.queuedWork = queuedWork;
    this.quotaLedger = quotaLedger;
  }

  /** Reserves for the rest of the pass; to be called once starving jobs have been placed. */
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

  /** The starving job of the largest tasks, by the smallest machine type that holds one. */
  private Map<String, JobEntry> largestByType() {
    Map<String, JobEntry> largest = new HashMap<>();
    for (QueuedWork.StarvingJob starving : queuedWork.starvingJobs()) {
      if (mayUseQuota(starving.entry())) {
        largest.merge(starving.minimalType(), starving.entry(), StarvationReservations::larger);
      }
    }
    return largest;
  }

  /** Whether the limit of the job's team lets it start a task now or soon. */
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
