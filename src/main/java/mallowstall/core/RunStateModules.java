package mallowstall.core;

import mallowstall.core.api.LeaderRunStates;
import mallowstall.core.api.LocalRunStates;
import mallowstall.core.api.RunStateExchange;
import mallowstall.core.api.RunStateLookup;
import mallowstall.core.api.RunStateMailbox;
import mallowstall.core.api.RunStateResponder;

/**
 * The modules that determine, together with other controllers, whether tasks of jobs are running.
 * Used on the event loop only.
 */
final class RunStateModules {
  final RunStateMailbox mailbox;
  final RunStateExchange exchange;
  final RunStateResponder responder;
  final RunStateLookup lookup;

  /** Builds the modules; {@code local} tells what this controller knows of tasks. */
  RunStateModules(ClusterModules cluster, LocalRunStates local) {
    mailbox =
        new RunStateMailbox(
            cluster.clock, cluster.settings, cluster.effects, cluster.metrics, cluster.store);
    exchange =
        new RunStateExchange(
            cluster.clock,
            cluster.settings,
            cluster.effects,
            cluster.metrics,
            cluster.store,
            cluster.clusterVersion,
            cluster.connectivity,
            mailbox);
    LeaderRunStates leaderRunStates =
        new LeaderRunStates(cluster.clock, cluster.settings, cluster.store, local, exchange);
    responder =
        new RunStateResponder(
            cluster.clock, cluster.settings, cluster.effects, local, leaderRunStates, mailbox);
    lookup =
        new RunStateLookup(
            cluster.clock,
            cluster.settings,
            cluster.store,
            cluster.clusterVersion,
            local,
            leaderRunStates,
            exchange);
  }
}
