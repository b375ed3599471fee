package mallowstall.core;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import mallowstall.Constants;
import mallowstall.core.Holder.Active;
import mallowstall.core.Holder.Held;
import mallowstall.core.Model.JobSpec;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Places the pending tasks of the jobs held here on any allowed machine of the view. The tasks of
 * one job are alike and are decided together: cost follows jobs and machines, not tasks.
 */
final class Placement {
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.placement");

  private final EventClock clock;
  private final Metrics metrics;
  private final View view;
  private final MachineTypeCatalog types;
  private final PlacementTrigger placementTrigger;
  private final Policy.Book policies;
  private final Store store;
  private final Holder holder;
  private final SplittableRandom random;
  private final Map<String, BackOff> backOffs = new HashMap<>();
  private final GrantLedger quota;
  private final JobRanking ranking;
  private final Entitlements entitlements;
  private final WaitingWork waiting;
  private final PolicyFacts facts;
  private final StartSender starts;
  private final Preemption preemption;
  private final ReplicaRelocation relocation;

  Placement(
      EventClock clock,
      Metrics metrics,
      Store store,
      View view,
      MachineTypeCatalog types,
      PlacementTrigger placementTrigger,
      Policy.Book policies,
      Holder holder,
      GrantLedger quota,
      JobRanking ranking,
      Entitlements entitlements,
      WaitingWork waiting,
      PolicyFacts facts,
      StartSender starts,
      Preemption preemption,
      ReplicaRelocation relocation,
      SplittableRandom random) {
    this.clock = clock;
    this.metrics = metrics;
    this.view = view;
    this.types = types;
    this.placementTrigger = placementTrigger;
    this.policies = policies;
    this.store = store;
    this.holder = holder;
    this.random = random;
    this.quota = quota;
    this.ranking = ranking;
    this.entitlements = entitlements;
    this.waiting = waiting;
    this.facts = facts;
    this.starts = starts;
    this.preemption = preemption;
    this.relocation = relocation;
  }

  /** Places what waits, as far as there is room. */
  void round() {
    if (!store.sessionGood() || !store.synced() || types.isEmpty()) {
      return;
    }
    long now = clock.now();
    List<Held> wait = new ArrayList<>();
    boolean anyDue = false;
    for (Held held : holder.jobs()) {
      if (held.spec.service()) {
        held.moves.expire(now);
      }
      if (held.rebuilt && !held.over() && held.pending() > 0 && now >= held.notBefore) {
        wait.add(held);
        anyDue |= !backOff(held).waits(now, placementTrigger.capacityVersion());
      }
    }
    boolean anyService = holder.anyService();
    if (!anyDue && !anyService) {
      return;
    }
    ranking.countRoom();
    entitlements.count();
    wait.sort(ranking::order);
    List<View.Seen> machines = new ArrayList<>();
    for (View.Seen machine : view.machines.values()) {
      if (machine.takes() && view.heardLately(machine) && machine.freeCpus() > 0.01) {
        machines.add(machine);
      }
    }
    countSent();
    waiting.count();
    if (anyService) {
      relocation.round(machines, now);
    }
    int budget = Constants.STARTS_PER_ROUND;
    for (List<Held> alike : groups(wait)) {
      if (budget <= 0) {
        break;
      }
      budget -= place(alike, machines, budget, now);
    }
    starts.send();
  }

  private BackOff backOff(Held held) {
    if (held.spec.service()) {
      return held.backOff;
    }
    String policy = policies.forClass(held.spec.jobClass()).name();
    return backOffs.computeIfAbsent(policy, key -> new BackOff());
  }

  /** Jobs of one priority, those that starve apart; they stay in their order. */
  private List<List<Held>> groups(List<Held> wait) {
    List<List<Held>> groups = new ArrayList<>();
    Held previous = null;
    for (Held held : wait) {
      boolean alike =
          previous != null
              && previous.spec.priority() == held.spec.priority()
              && ranking.starves(previous) == ranking.starves(held);
      if (!alike) {
        groups.add(new ArrayList<>());
      }
      groups.get(groups.size() - 1).add(held);
      previous = held;
    }
    return groups;
  }

  /** Every job tries a block before any tries the next; returns the number of starts. */
  private int place(List<Held> alike, List<View.Seen> machines, int budget, long now) {
    List<Try> tries = new ArrayList<>();
    int blocks = 0;
    for (Held held : alike) {
      Try attempt = new Try(held, machines);
      boolean mayBeHeldBack = !ranking.starves(held) && !held.spec.service();
      if (attempt.backOff.waits(now, placementTrigger.capacityVersion())
          || mayBeHeldBack && waiting.outranked(held, now)) {
        continue;
      }
      tries.add(attempt);
      blocks = Math.max(blocks, attempt.policy.blocks().size());
    }
    int started = 0;
    for (int i = 0; i < blocks; i++) {
      for (Try attempt : tries) {
        if (i < attempt.policy.blocks().size() && started < budget) {
          Policy.Block block = attempt.policy.blocks().get(i);
          started += attempt.block(block, machines, budget - started, now);
        }
      }
    }
    for (Try attempt : tries) {
      attempt.end(now);
    }
    return started;
  }

  /** A machine that a block takes; the lower score comes first. */
  private record Choice(View.Seen machine, double score) {}

  /** One job's part in a placement round. Mutable. */
  private final class Try {
    final Held held;
    final Policy policy;
    final BackOff backOff;
    final boolean limited;
    final Map<String, Integer> perZone = new HashMap<>();
    final int zoneMax;

    /** Replicas of a service on each machine, which are spread as evenly as can be. */
    final Map<String, Integer> perMachine = new HashMap<>();

    String oneZone;
    int want;
    int spare;
    int placed;

    /** Pairs of a machine with room and a block that didn't take it. */
    int refused;

    /** Tasks that would have been placed if their team's grant allowed it. */
    int possible;

    Try(Held held, List<View.Seen> machines) {
      this.held = held;
      JobSpec spec = held.spec;
      policy = policies.forClass(spec.jobClass());
      backOff = backOff(held);
      want = held.pending();
      if (ranking.starves(held) && !spec.service()) {
        want = Math.min(want, Math.max(1, spec.tasks() / 10));
      }
      limited = quota.limited(spec);
      // a change of the grant that is under way or in doubt: what it will be isn't known
      spare =
          !limited
              ? Integer.MAX_VALUE
              : held.granting || held.uncertain || quota.yields(held)
                  ? 0
                  : held.job.grant() - held.active.size();
      for (Active active : held.active.values()) {
        oneZone = active.zone;
        perZone.merge(active.zone, 1, Integer::sum);
        if (spec.service()) {
          perMachine.merge(active.machine, 1, Integer::sum);
        }
      }
      if (spec.oneZone() && oneZone == null) {
        oneZone = roomiestZone(spec, machines);
      }
      zoneMax = spec.spread() ? (spec.tasks() + 1) / 2 : Integer.MAX_VALUE;
    }

    /** Places what this block allows; returns the number of starts. */
    int block(Policy.Block block, List<View.Seen> machines, int budget, long now) {
      JobSpec spec = held.spec;
      if (want <= 0) {
        return 0;
      }
      List<Choice> choices = choices(block, machines, now);
      if (!spec.service()) {
        return take(block, choices, Integer.MAX_VALUE, budget, now);
      }
      int started = 0;
      // one failure takes few replicas if each machine gets a second one only after all have one
      for (int most = 1; most <= spec.tasks() && want > 0 && started < budget; most++) {
        int before = want;
        started += take(block, choices, most, budget - started, now);
        if (want == before && most > mostOnOneMachine()) {
          break;
        }
      }
      return started;
    }

    private int mostOnOneMachine() {
      int most = 0;
      for (int replicas : perMachine.values()) {
        most = Math.max(most, replicas);
      }
      return most;
    }

    /** The machines that this block takes, best first. */
    private List<Choice> choices(Policy.Block block, List<View.Seen> machines, long now) {
      JobSpec spec = held.spec;
      List<Choice> choices = new ArrayList<>();
      for (View.Seen machine : machines) {
        if (!machine.allows(spec)) {
          continue;
        }
        if (spec.oneZone() && !machine.state.zone().equals(oneZone)) {
          continue;
        }
        if (machine.fits(spec) <= 0) {
          continue;
        }
        Long avoid = held.avoid.get(machine.id);
        if (avoid != null && avoid > now) {
          continue;
        }
        Policy.Facts pair = facts.of(machine, held, now);
        if (!block.workers(pair) || block.invalidate(pair)) {
          refused++;
          continue;
        }
        double score =
            switch (block.strategy()) {
              case LOWEST -> block.score(pair);
              case HIGHEST -> -block.score(pair);
              case RANDOM -> 0;
            };
        choices.add(new Choice(machine, score + random.nextDouble() * 0.5));
      }
      choices.sort(Comparator.comparingDouble(Choice::score));
      return choices;
    }

    /** Starts tasks on these machines, at most so many of the job on each; returns how many. */
    private int take(Policy.Block block, List<Choice> choices, int most, int budget, long now) {
      JobSpec spec = held.spec;
      int started = 0;
      for (Choice choice : choices) {
        int n = Math.min(want, choice.machine.fits(spec));
        if (spec.service()) {
          n = Math.min(n, most - perMachine.getOrDefault(choice.machine.id, 0));
        }
        n = Math.min(n, zoneMax - perZone.getOrDefault(choice.machine.state.zone(), 0));
        if (n <= 0) {
          continue;
        }
        if (!choice.machine.state.images().contains(spec.image())) {
          // each cold machine adds its slots to those that will serve the image's other tasks
          if (block.invalidate(facts.of(choice.machine, held, now))) {
            break;
          }
          waiting.warmUp(choice.machine, spec);
        }
        int go = Math.min(n, Math.min(spare, budget - started));
        for (int i = 0; i < go; i++) {
          int task = held.take();
          if (task < 0) {
            return started;
          }
          starts.start(held, task, choice.machine, List.of());
          started++;
          placed++;
          want--;
          spare--;
        }
        possible += n - go;
        want -= n - go;
        choice.machine.book(spec, n - go);
        perZone.merge(choice.machine.state.zone(), n, Integer::sum);
        if (spec.service()) {
          perMachine.merge(choice.machine.id, n, Integer::sum);
        }
        if (want <= 0 || started >= budget) {
          break;
        }
      }
      return started;
    }

    void end(long now) {
      if (limited && possible > 0) {
        held.wantsGrant = Math.max(held.wantsGrant, possible);
      }
      if (placed > 0) {
        held.grantIdleSince = 0;
        backOff.reset();
      } else if (possible == 0) {
        // exhausted every block: wait, unless a roster tells of new room before
        LOG.debug(
            "job {} finds no room: {} wait, {} on machines, {} machines with room refused",
            held.id,
            want,
            held.active.size(),
            refused);
        metrics.count("backoffs");
        backOff.failed(now, placementTrigger.capacityVersion());
        preempt(now);
      }
    }

    /** Starts tasks in the place of lower work where the job has waited for room in vain. */
    private void preempt(long now) {
      if (!preemption.due(held, now)) {
        return;
      }
      if (spare <= 0) {
        held.wantsGrant = Math.max(held.wantsGrant, Math.min(want, Constants.PREEMPT_MOST));
        return;
      }
      held.lastPreempt = now;
      int left = Constants.PREEMPT_MOST;
      for (Preemption.Exchange exchange : preemption.exchanges(held, policy, oneZone, now)) {
        left -= exchange(exchange, left, now);
        if (want <= 0 || spare <= 0 || left <= 0) {
          return;
        }
      }
    }

    /** Starts at most so many tasks in the place of others; returns how many. */
    private int exchange(Preemption.Exchange exchange, int most, long now) {
      JobSpec spec = held.spec;
      View.Seen machine = exchange.machine();
      String zone = machine.state.zone();
      // with no room anywhere the first start names the zone: two zones were once taken
      if (spec.oneZone() && oneZone != null && !zone.equals(oneZone)) {
        return 0;
      }
      int zoneLeft = zoneMax - perZone.getOrDefault(zone, 0);
      if (zoneLeft <= 0) {
        return 0;
      }
      preemption.release(exchange, now);
      int room = Math.min(Math.min(want, machine.fits(spec)), Math.min(spare, most));
      int started = 0;
      while (started < Math.min(room, zoneLeft)) {
        int task = held.take();
        if (task < 0) {
          return started;
        }
        starts.start(held, task, machine, started == 0 ? exchange.refs() : List.of());
        perZone.merge(zone, 1, Integer::sum);
        oneZone = zone;
        want--;
        spare--;
        started++;
      }
      return started;
    }
  }

  private void countSent() {
    for (View.Seen machine : view.machines.values()) {
      machine.clearBooked();
    }
    for (Held held : holder.jobs()) {
      for (Map.Entry<String, Integer> entry : held.moves.targets().entrySet()) {
        View.Seen seen = view.machines.get(entry.getKey());
        if (seen != null) {
          seen.book(held.spec, entry.getValue());
        }
      }
      for (Active active : held.active.values()) {
        if (active.seen || active.listed) {
          continue;
        }
        View.Seen candidate = view.machines.get(active.machine);
        if (candidate != null) {
          candidate.book(held.spec, 1);
        }
      }
    }
  }

  private String roomiestZone(JobSpec spec, List<View.Seen> machines) {
    Map<String, Integer> room = new HashMap<>();
    for (View.Seen machine : machines) {
      if (machine.allows(spec)) {
        room.merge(machine.state.zone(), machine.fits(spec), Integer::sum);
      }
    }
    String best = null;
    for (Map.Entry<String, Integer> entry : room.entrySet()) {
      if (best == null || entry.getValue() > room.get(best)) {
        best = entry.getKey();
      }
    }
    return best;
  }
}
