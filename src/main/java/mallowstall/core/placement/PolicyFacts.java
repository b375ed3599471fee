package mallowstall.core.placement;

import mallowstall.core.autoscaling.MachineDemand;
import mallowstall.core.cluster.ClusterView;
import mallowstall.core.cluster.MachineTypeCatalog;
import mallowstall.core.cluster.MachineView;
import mallowstall.core.jobs.LedJob;
import mallowstall.core.kernel.EventClock;
import mallowstall.core.model.CoreSettings;
import mallowstall.core.model.JobSpec;
import mallowstall.core.model.MachineType;

/** Gathers what policies may ask about a machine and a job. Mutable. */
public final class PolicyFacts {
  /** Stands for a machine that no block of the policy accepts. */
  static final double REJECTED = Double.POSITIVE_INFINITY;

  /** Of the time that a fetch takes, what is left on average of one that runs already. */
  private static final double REMAINING_FETCH_FRACTION = 0.6;

  private final EventClock clock;
  private final CoreSettings settings;
  private final ClusterView view;
  private final MachineTypeCatalog types;
  private final MachineDemand demand;
  private final QueuedWork queuedWork;
  private final Policy.Facts facts = new Policy.Facts();

  /** Facts come from the cluster view, the demand for machines and the work that waits. */
  public PolicyFacts(
      EventClock clock,
      CoreSettings settings,
      ClusterView view,
      MachineTypeCatalog types,
      MachineDemand demand,
      QueuedWork queuedWork) {
    this.clock = clock;
    this.settings = settings;
    this.view = view;
    this.types = types;
    this.demand = demand;
    this.queuedWork = queuedWork;
  }

  /** The facts on this pair; they stand until the next call. */
  Policy.Facts evaluate(MachineView machine, LedJob ledJob, long now) {
    MachineType type = types.find(machine.status().type());
    evaluateMachine(machine, type);
    evaluateImage(machine, type, ledJob.spec());
    evaluateJob(ledJob, now);
    facts.reservedForUrgent = demand.isReserved(machine.id());
    facts.scarceType = demand.isScarce(ledJob.spec(), machine.status().type());
    return facts;
  }

  private void evaluateMachine(MachineView machine, MachineType type) {
    facts.zone = machine.status().zone();
    facts.type = machine.status().type();
    facts.spot = machine.status().spot();
    facts.locallyManaged = settings.node().equals(machine.leader());
    facts.freeCpus = machine.freeCpus();
    facts.freeGpus = machine.freeGpus();
    facts.freeMemoryGb = machine.freeMemoryGb();
    facts.cpuUtilization =
        type == null || type.cpus() <= 0 ? 0 : 1 - machine.freeCpus() / type.cpus();
    facts.price = type == null ? 0 : machine.status().spot() ? type.spotPrice() : type.price();
  }

  private void evaluateImage(MachineView machine, MachineType type, JobSpec spec) {
    facts.image = spec.image();
    facts.imagePresent = machine.status().images().contains(spec.image());
    int fetching = 0;
    boolean fetchingSameImage = false;
    view.updateDerivedState(machine);
    for (String other : machine.fetchingImages()) {
      if (other.equals(spec.image())) {
        fetchingSameImage = true;
      } else if (!machine.status().images().contains(other)) {
        fetching++;
      }
    }
    facts.imageFetches = fetching;
    double fetchGbPerS = type == null ? 1 : Math.max(1e-3, type.fetchGbPerS());
    facts.fetchS =
        facts.imagePresent
            ? 0
            : spec.imageGb()
                / fetchGbPerS
                * (fetchingSameImage ? REMAINING_FETCH_FRACTION : 1 + fetching);
    facts.drainS = queuedWork.drainS(spec.image());
    facts.otherDrainS = queuedWork.maxOtherDrainS(spec.image(), machine.status().images());
  }

  private void evaluateJob(LedJob ledJob, long now) {
    JobSpec spec = ledJob.spec();
    facts.taskCpus = spec.cpus();
    facts.taskGpus = spec.gpus();
    facts.taskMemoryGb = spec.memoryGb();
    double ageS = (clock.wallClockMs() - ledJob.entry().submittedMs()) / 1000.0;
    facts.waitedS = waitedS(ledJob, ageS, now);
    facts.slackS =
        spec.deadlineS() == null
            ? Policy.Facts.NEVER_S
            : spec.deadlineS() - spec.estimatedRunS() - ageS;
    facts.estimateS = spec.estimatedRunS();
    facts.priority = spec.priority().ordinal();
    facts.pendingTasks = ledJob.pending();
    facts.service = spec.isService();
  }

  /** Since submission or, as the job progresses, since one of its tasks was last started; in s. */
  private static double waitedS(LedJob ledJob, double ageS, long now) {
    return ledJob.lastStartMs() == 0 ? ageS : Math.min(ageS, (now - ledJob.lastStartMs()) / 1000.0);
  }

  /** Seconds until the image would be there if a block accepts the machine, else REJECTED. */
  double acceptedFetchS(Policy policy, MachineView machine, LedJob ledJob, long now) {
    evaluate(machine, ledJob, now);
    for (Policy.Block block : policy.blocks()) {
      if (block.workers(facts) && !block.invalidate(facts)) {
        return facts.fetchS;
      }
    }
    return REJECTED;
  }
}
