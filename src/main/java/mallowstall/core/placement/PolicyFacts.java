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

/** Evaluates the facts about a machine and a job that policies can read. Mutable. */
public final class PolicyFacts {
  /** The result of {@link #acceptedFetchS} if no block of the policy accepts the machine. */
  static final double REJECTED = Double.POSITIVE_INFINITY;

  /** Fraction of an image's fetch time that on average remains of a fetch already in progress. */
  private static final double REMAINING_FETCH_FRACTION = 0.6;

  private final EventClock clock;
  private final CoreSettings settings;
  private final ClusterView view;
  private final MachineTypeCatalog types;
  private final MachineDemand demand;
  private final QueuedWork queuedWork;
  private final Policy.Facts facts = new Policy.Facts();

  /** The facts come from the cluster view, the machine demand and the queued work. */
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

  /** Returns the facts about this machine and job. The next call overwrites the returned object. */
  Policy.Facts evaluate(MachineView machine, LedJob ledJob, long now) {
    MachineType type = types.find(machine.status().type());
    evaluateMachine(machine, type);
    evaluateImage(machine, type, ledJob.spec());
    evaluateJob(ledJob, now);
    facts.reservedForUrgent = demand.isReservedForUrgent(machine.id());
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
    view.refreshImages(machine);
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

  /**
   * Returns the time in seconds since the job was submitted or, if that is later, since one of its
   * tasks was last started.
   */
  private static double waitedS(LedJob ledJob, double ageS, long now) {
    return ledJob.lastStartMs() == 0 ? ageS : Math.min(ageS, (now - ledJob.lastStartMs()) / 1000.0);
  }

  /**
   * Returns the time in seconds until the machine would have the image, or {@link #REJECTED} if no
   * block of the policy accepts the machine.
   */
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
