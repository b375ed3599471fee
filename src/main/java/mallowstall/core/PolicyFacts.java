package mallowstall.core;

import mallowstall.core.Holder.Held;
import mallowstall.core.Model.CoreSettings;
import mallowstall.core.Model.JobSpec;
import mallowstall.core.Model.MachineType;

/** Gathers what policies may ask about a machine and a job. Mutable. */
final class PolicyFacts {
  private final EventClock clock;
  private final CoreSettings settings;
  private final View view;
  private final MachineTypeCatalog types;
  private final MachineDemand demand;
  private final WaitingWork waiting;
  private final Policy.Facts facts = new Policy.Facts();

  PolicyFacts(
      EventClock clock,
      CoreSettings settings,
      View view,
      MachineTypeCatalog types,
      MachineDemand demand,
      WaitingWork waiting) {
    this.clock = clock;
    this.settings = settings;
    this.view = view;
    this.types = types;
    this.demand = demand;
    this.waiting = waiting;
  }

  /** The facts on this pair; they stand until the next call. */
  Policy.Facts of(View.Seen machine, Held held, long now) {
    JobSpec spec = held.spec;
    MachineType type = types.find(machine.state.type());
    facts.zone = machine.state.zone();
    facts.type = machine.state.type();
    facts.image = spec.image();
    facts.spot = machine.state.spot();
    facts.own = settings.node().equals(machine.owner);
    facts.freeCpus = machine.freeCpus();
    facts.freeGpus = machine.freeGpus();
    facts.freeMemory = machine.freeMemory();
    facts.used = type == null || type.cpus() <= 0 ? 0 : 1 - machine.freeCpus() / type.cpus();
    facts.imagePresent = machine.state.images().contains(spec.image());
    int fetching = 0;
    boolean same = false;
    view.derive(machine);
    for (String other : machine.fetching) {
      if (other.equals(spec.image())) {
        same = true;
      } else if (!machine.state.images().contains(other)) {
        fetching++;
      }
    }
    facts.fetches = fetching;
    double rate = type == null ? 1 : Math.max(1e-3, type.fetchGbPerS());
    facts.fetchS = facts.imagePresent ? 0 : spec.imageGb() / rate * (same ? 0.6 : 1 + fetching);
    facts.drainS = waiting.drainS(spec.image());
    facts.otherDrainS = waiting.otherDrainS(spec.image(), machine.state.images());
    facts.reserved = demand.reserved(machine.id);
    facts.scarce = demand.scarce(spec, machine.state.type());
    facts.taskCpus = spec.cpus();
    facts.taskGpus = spec.gpus();
    facts.taskMemory = spec.memoryGb();
    facts.waitedS = waitedS(held, now);
    facts.slackS =
        spec.deadlineS() == null
            ? Policy.Facts.NEVER_S
            : spec.deadlineS()
                - spec.estimateS()
                - (clock.wallClock() - held.job.submittedMs()) / 1000.0;
    facts.estimateS = spec.estimateS();
    facts.priority = spec.priority().ordinal();
    facts.pending = held.pending();
    facts.service = spec.service();
    facts.price = type == null ? 0 : machine.state.spot() ? type.spotPrice() : type.price();
    return facts;
  }

  /**
   * Since the job was submitted, or since a task of it was started last: what is being served,
   * however slowly, doesn't starve.
   */
  private double waitedS(Held held, long now) {
    double age = (clock.wallClock() - held.job.submittedMs()) / 1000.0;
    return held.lastStart == 0 ? age : Math.min(age, (now - held.lastStart) / 1000.0);
  }

  /** Whether some block of the policy takes the machine for the job. */
  boolean taken(Policy policy, View.Seen machine, Held held, long now) {
    of(machine, held, now);
    for (Policy.Block block : policy.blocks()) {
      if (block.workers(facts) && !block.invalidate(facts)) {
        return true;
      }
    }
    return false;
  }
}
