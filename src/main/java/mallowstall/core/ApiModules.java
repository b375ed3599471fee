package mallowstall.core;

import mallowstall.core.api.AbsenceLeases;
import mallowstall.core.api.AcceptanceLookup;
import mallowstall.core.api.FormerProcessLeases;
import mallowstall.core.api.JobApi;
import mallowstall.core.api.LocalRunStates;
import mallowstall.core.api.OutcomeAnnouncer;
import mallowstall.core.api.QueryEnds;
import mallowstall.core.api.RefusalsInTransit;
import mallowstall.core.model.AcceptanceReply;

/** The modules that handle the requests of users. Used on the event loop only. */
final class ApiModules {
  final OutcomeAnnouncer outcomes;
  final AcceptanceLookup acceptances;
  final AbsenceLeases absenceLeases;
  final RunStateModules runStates;
  final JobApi jobApi;

  private final FormerProcessLeases formerProcessLeases;
  private final RefusalsInTransit refusalsInTransit;
  private final QueryEnds queryEnds;

  /** Builds the modules; {@code localRunStates} tells what this controller knows of tasks. */
  ApiModules(ClusterModules cluster, LocalRunStates localRunStates) {
    outcomes =
        new OutcomeAnnouncer(
            cluster.clock,
            cluster.settings,
            cluster.effects,
            cluster.store,
            cluster.clusterVersion);
    refusalsInTransit = new RefusalsInTransit(cluster.clock, cluster.metrics);
    queryEnds =
        new QueryEnds(
            cluster.clock, cluster.settings, cluster.effects, cluster.store, refusalsInTransit);
    acceptances =
        new AcceptanceLookup(
            cluster.clock,
            cluster.settings,
            cluster.effects,
            cluster.store,
            cluster.clusterVersion,
            cluster.connectivity,
            queryEnds);
    formerProcessLeases =
        new FormerProcessLeases(
            cluster.clock,
            cluster.settings,
            cluster.effects,
            cluster.store,
            cluster.clusterVersion);
    absenceLeases =
        new AbsenceLeases(
            cluster.clock,
            cluster.settings,
            cluster.effects,
            cluster.store,
            formerProcessLeases,
            refusalsInTransit,
            acceptances::closeUnanswered);
    runStates = new RunStateModules(cluster, localRunStates);
    jobApi = newJobApi(cluster);
  }

  private JobApi newJobApi(ClusterModules cluster) {
    return new JobApi(
        cluster.clock,
        cluster.settings,
        cluster.store,
        cluster.jobBitmaps,
        cluster.machineTypes,
        cluster.connectivity,
        cluster.cancellations,
        cluster.clusterVersion,
        outcomes,
        acceptances,
        absenceLeases,
        formerProcessLeases,
        refusalsInTransit,
        runStates.lookup,
        cluster.metrics);
  }

  /** Runs the regular work of the modules. */
  void tick() {
    formerProcessLeases.tick();
    if (refusalsInTransit.removeExpired()) {
      queryEnds.endUnneededLeases();
    }
  }

  /** Handles the adapter's report that a refusal has arrived or that nobody waits for it. */
  void refusalArrived(long refusalId) {
    refusalsInTransit.arrived(refusalId);
    queryEnds.endUnneededLeases();
  }

  /** Handles a peer's reply to a query about jobs or to the query of a new process. */
  void receive(AcceptanceReply reply) {
    acceptances.receive(reply);
    formerProcessLeases.receive(reply);
  }
}
