package mallowstall.core;

import java.util.function.Consumer;
import mallowstall.core.cluster.CancellationExchange;
import mallowstall.core.cluster.ClusterVersion;
import mallowstall.core.cluster.ClusterView;
import mallowstall.core.cluster.Connectivity;
import mallowstall.core.cluster.ImageSizes;
import mallowstall.core.cluster.JobsNeedingLeader;
import mallowstall.core.cluster.MachineTypeCatalog;
import mallowstall.core.cluster.Membership;
import mallowstall.core.cluster.PeerMessenger;
import mallowstall.core.cluster.ReturnedMachines;
import mallowstall.core.cluster.SessionAbsences;
import mallowstall.core.kernel.Effects;
import mallowstall.core.kernel.EventClock;
import mallowstall.core.kernel.EventLoopLag;
import mallowstall.core.kernel.Metrics;
import mallowstall.core.kernel.PlacementTrigger;
import mallowstall.core.kv.JobBitmaps;
import mallowstall.core.kv.StateStore;
import mallowstall.core.model.CoreSettings;
import mallowstall.core.model.StartBatch;
import mallowstall.core.model.StopBatch;

/**
 * The modules that every other concern uses: the clock, the replica of the state service, the view
 * of the cluster and the messages between controllers. They are built once, before all other
 * modules. Used on the event loop only.
 */
final class ClusterModules {
  final CoreSettings settings;
  final Effects effects;
  final Metrics metrics;
  final EventClock clock = new EventClock();
  final EventLoopLag eventLoopLag = new EventLoopLag();
  final StateStore store;
  final ClusterView view;
  final MachineTypeCatalog machineTypes;
  final ImageSizes imageSizes = new ImageSizes();
  final JobsNeedingLeader jobsNeedingLeader = new JobsNeedingLeader();
  final ReturnedMachines returnedMachines = new ReturnedMachines();
  final Membership membership;
  final SessionAbsences absences;
  final Connectivity connectivity;
  final CancellationExchange cancellations;
  final ClusterVersion clusterVersion;
  final JobBitmaps jobBitmaps;
  final PeerMessenger messenger;
  final PlacementTrigger placementTrigger;

  /**
   * Builds the modules. No module acts before its first event.
   *
   * @param cancelled called with the id of a job when its cancellation becomes known
   * @param ownStarts receives the start batches that this controller addresses to itself
   * @param ownStops receives the stop batches that this controller addresses to itself
   */
  ClusterModules(
      CoreSettings settings,
      Effects effects,
      Metrics metrics,
      Consumer<String> cancelled,
      Consumer<StartBatch> ownStarts,
      Consumer<StopBatch> ownStops) {
    this.settings = settings;
    this.effects = effects;
    this.metrics = metrics;
    store = new StateStore(clock, settings, effects);
    view = new ClusterView(clock, store);
    machineTypes = new MachineTypeCatalog(clock, effects);
    membership = new Membership(settings, store);
    absences = new SessionAbsences(clock, settings, store, view);
    connectivity = new Connectivity(clock, settings, store, view);
    cancellations = new CancellationExchange(store, cancelled);
    clusterVersion = new ClusterVersion(settings, store);
    jobBitmaps =
        new JobBitmaps(
            settings, effects::encodedSizeBytes, clusterVersion::allowsCompactLayout, store::entry);
    messenger = new PeerMessenger(settings, effects, store, view, ownStarts, ownStops);
    placementTrigger = new PlacementTrigger(clock, eventLoopLag);
  }
}
