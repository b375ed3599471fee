package mallowstall.core;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import mallowstall.core.Holder.Active;
import mallowstall.core.Holder.Held;
import mallowstall.core.Model.JobSpec;
import mallowstall.core.Model.StopOrder;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Moves replicas off machines that won't last: the place is chosen first and its room kept, then
 * the replica is stopped, and it starts there as soon as its end is proven.
 */
final class ReplicaRelocation {
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.placement");

  private final View view;
  private final PeerMessenger messenger;
  private final Policy.Book policies;
  private final Holder holder;
  private final GrantLedger quota;
  private final PolicyFacts facts;
  private final StartSender starts;

  ReplicaRelocation(
      View view,
      PeerMessenger messenger,
      Policy.Book policies,
      Holder holder,
      GrantLedger quota,
      PolicyFacts facts,
      StartSender starts) {
    this.view = view;
    this.messenger = messenger;
    this.policies = policies;
    this.holder = holder;
    this.quota = quota;
    this.facts = facts;
    this.starts = starts;
  }

  /**
   * Moves replicas off machines that won't last: the place is chosen first and its room kept, then
   * the replica is stopped, and it starts there as soon as its end is proven.
   */
  void round(List<View.Seen> machines, long now) {
    for (Held held : holder.jobs()) {
      if (!held.spec.service() || !held.rebuilt || held.over()) {
        continue;
      }
      for (int replica : held.moves.replicas()) {
        startMoved(held, replica, now);
      }
      if (held.uncertain) {
        continue;
      }
      for (Active active : new ArrayList<>(held.active.values())) {
        if (!active.seen || held.moves.underWay(active.task)) {
          continue;
        }
        View.Seen from = view.machines.get(active.machine);
        if (from == null || !from.leaves()) {
          continue;
        }
        View.Seen machine = placeToMove(held, active, machines, now);
        if (machine == null) {
          continue;
        }
        LOG.info(
            "replica {}/{} moves from {} to {}", held.id, active.task, active.machine, machine.id);
        held.moves.begin(active.task, machine.id, now);
        machine.book(held.spec, 1);
        messenger.stop(
            from.owner,
            new StopOrder(
                active.machine, held.id, active.task, active.attempt, held.spec.saveS() + 1));
      }
    }
  }

  /** Starts a replica where its move leads, once it is proven to run nowhere. */
  private void startMoved(Held held, int replica, long now) {
    if (held.active.containsKey(replica) || held.granting || held.uncertain) {
      return;
    }
    View.Seen machine = view.machines.get(held.moves.target(replica));
    held.moves.end(replica);
    if (machine == null) {
      return;
    }
    machine.book(held.spec, -1);
    boolean granted = !quota.limited(held.spec) || held.job.grant() > held.active.size();
    boolean heard = machine.takes() && view.heardLately(machine);
    if (granted && heard && allowsMove(held, replica, machine)) {
      starts.start(held, replica, machine, List.of());
    }
  }

  private View.Seen placeToMove(Held held, Active moving, List<View.Seen> machines, long now) {
    Map<String, Integer> perMachine = new HashMap<>();
    for (Active active : held.active.values()) {
      perMachine.merge(active.machine, 1, Integer::sum);
    }
    Policy policy = policies.forClass(held.spec.jobClass());
    View.Seen best = null;
    double bestCost = Double.MAX_VALUE;
    for (View.Seen machine : machines) {
      if (held.avoid.getOrDefault(machine.id, 0L) > now
          || !allowsMove(held, moving.task, machine)) {
        continue;
      }
      boolean taken = facts.taken(policy, machine, held, now);
      double cost = facts.of(machine, held, now).fetchS + perMachine.getOrDefault(machine.id, 0);
      if (!taken || cost >= bestCost) {
        continue;
      }
      best = machine;
      bestCost = cost;
    }
    return best;
  }

  /** Whether the replica may run there, given where the job's others are. */
  private boolean allowsMove(Held held, int replica, View.Seen machine) {
    JobSpec spec = held.spec;
    if (!machine.allows(spec) || machine.fits(spec) <= 0) {
      return false;
    }
    int there = 1;
    for (Active active : held.active.values()) {
      if (active.task == replica) {
        continue;
      }
      if (spec.oneZone() && !active.zone.equals(machine.state.zone())) {
        return false;
      }
      if (active.zone.equals(machine.state.zone())) {
        there++;
      }
    }
    return !spec.spread() || there <= (spec.tasks() + 1) / 2;
  }
}
