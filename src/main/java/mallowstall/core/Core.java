package mallowstall.core;

import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import mallowstall.Constants;
import mallowstall.core.Model.CoreSettings;
import mallowstall.core.Model.JobSpec;
import mallowstall.core.Model.PeerMessage;
import mallowstall.core.Model.Report;
import mallowstall.core.Model.ReportAnswer;
import mallowstall.core.Model.Roster;
import mallowstall.core.Model.Starts;
import mallowstall.core.Model.StopOrder;
import mallowstall.core.Model.Stops;
import mallowstall.core.Model.UserAnswer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One controller without its sockets: events and time come in, effects go out. It wires the modules
 * and hands each event to the one that it concerns. Not thread-safe; the caller sets the time
 * before each event and gives events one at a time.
 *
 * <p>Modules get what they use through their constructors, those of a lower layer first. Where a
 * lower layer calls a higher one, it takes a function that ends in one of the private methods here.
 */
public final class Core {
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.core");

  private final EventClock clock = new EventClock();
  private final OwnLag lag = new OwnLag();
  private final Store store;
  private final View view;
  private final MachineTypeCatalog types;
  private final PeerMessenger messenger;
  private final PlacementTrigger placementTrigger;
  private final Holder holder;
  private final OwnedMachines machines;
  private final RosterPublisher publisher;
  private final DirectCommands commands;
  private final ReclaimedMachines reclaimed;
  private final HeartbeatRouter heartbeats;
  private final StopRequestHandler stopRequests;
  private final PeerStartReceiver startReceiver;
  private final StatusUpdateReceiver statusUpdates;
  private final Owner owner;
  private final GrantLedger quota;
  private final Placement placement;
  private final Fleet fleet;
  private final DigestPublisher digest;
  private final Users users;

  /** A core that does nothing before its first event. */
  public Core(
      CoreSettings settings, Effects effects, Policy.Book policies, Metrics metrics, long seed) {
    // state service and cluster
    store = new Store(clock, settings, effects);
    view = new View(clock, store);
    types = new MachineTypeCatalog(clock, effects);
    ImageSizes imageSizes = new ImageSizes();
    OpenJobs openJobs = new OpenJobs();
    Membership membership = new Membership(settings, store);
    Connectivity connectivity = new Connectivity(clock, settings, store, view);
    Cancellations cancellations = new Cancellations(store, this::jobCancelled);
    ClusterVersion clusterVersion = new ClusterVersion(settings, store);
    JobEntries jobEntries =
        new JobEntries(
            settings, effects::encodedSize, clusterVersion::allowsSmallPieces, store::held);
    messenger =
        new PeerMessenger(settings, effects, store, view, this::receiveStarts, this::receiveStops);
    placementTrigger = new PlacementTrigger(clock, lag);

    // jobs
    holder =
        new Holder(
            clock,
            settings,
            store,
            jobEntries,
            view,
            openJobs,
            membership,
            messenger,
            placementTrigger);

    // machines
    machines = new OwnedMachines(clock, settings, store, view);
    MachineRecords records = new MachineRecords(settings, effects, store);
    publisher =
        new RosterPublisher(
            clock,
            lag,
            settings,
            effects,
            metrics,
            store,
            view,
            cancellations,
            this::receiveStatusUpdate,
            machines);
    Terms terms = new Terms(machines, records, publisher);
    WorkerReports reports =
        new WorkerReports(
            clock,
            settings,
            store,
            jobEntries,
            imageSizes,
            cancellations,
            holder::atFault,
            machines,
            publisher,
            terms);
    commands =
        new DirectCommands(
            clock, effects, store, connectivity, cancellations, reports, machines, terms);
    StartVetting vetting =
        new StartVetting(clock, store, jobEntries, connectivity, cancellations, machines);
    MachineAdoption adoption =
        new MachineAdoption(
            clock, settings, store, view, types, membership, machines, records, reports);
    reclaimed = new ReclaimedMachines(clock, settings, store, types, machines, records, publisher);
    OrphanTakeover orphans =
        new OrphanTakeover(
            clock, settings, effects, store, view, types, membership, machines, records, reports);
    heartbeats =
        new HeartbeatRouter(clock, store, types, connectivity, machines, reports, adoption);
    StartRequestHandler startRequests =
        new StartRequestHandler(metrics, store, machines, publisher, commands, vetting);
    stopRequests = new StopRequestHandler(clock, machines, publisher, commands);
    OwnershipChanges ownership =
        new OwnershipChanges(settings, store, machines, publisher, adoption, reclaimed);
    LeaseExpiry leases = new LeaseExpiry(settings, store, machines, terms, publisher);
    owner = new Owner(clock, machines, records, publisher, commands, adoption, orphans, leases);
    startReceiver = new PeerStartReceiver(view, startRequests::starts);
    statusUpdates =
        new StatusUpdateReceiver(
            store,
            view,
            cancellations,
            publisher::statementSentAt,
            holder::roster,
            placementTrigger);

    // autoscaling
    MachineDemand demand = new MachineDemand(clock, settings, view, types, openJobs);
    types.subscribe(demand::typesChanged);
    double cloudCalls = settings.cloudRps() * Constants.BUDGET_SHARE;
    Budget calls = new Budget(cloudCalls, settings.cloudRps() * 2 * Constants.BUDGET_SHARE);
    CloudListing listing = new CloudListing(clock, effects, calls);
    MachineRentals rentals =
        new MachineRentals(
            clock,
            effects,
            store,
            view,
            types,
            openJobs,
            demand,
            new StrandedJobs(settings, store, view),
            calls,
            this::scaleOutAnswered);
    MachineReturns returns =
        new MachineReturns(
            clock,
            settings,
            effects,
            store,
            calls,
            machine -> {
              rentals.coming().remove(machine);
              listing.forget(machine);
            });
    fleet =
        new Fleet(
            clock, settings, store, view, types, demand, listing, rentals, returns, messenger);

    // quota and placement
    JobRanking ranking = new JobRanking(clock, settings, view, types, demand);
    quota =
        new GrantLedger(
            clock, settings, store, jobEntries, openJobs, placementTrigger, holder, ranking::order);
    Entitlements entitlements = new Entitlements(settings, openJobs);
    WaitingWork waiting =
        new WaitingWork(clock, settings, store, view, types, openJobs, demand, ranking);
    PolicyFacts facts = new PolicyFacts(clock, settings, view, types, demand, waiting);
    StartSender starts = new StartSender(clock, settings, metrics, store, view, messenger, holder);
    Preemption preemption = new Preemption(clock, store, view, demand, entitlements, facts);
    ReplicaRelocation relocation =
        new ReplicaRelocation(view, messenger, policies, holder, quota, facts, starts);
    placement =
        new Placement(
            clock,
            metrics,
            store,
            view,
            types,
            placementTrigger,
            policies,
            holder,
            quota,
            ranking,
            entitlements,
            waiting,
            facts,
            starts,
            preemption,
            relocation,
            new SplittableRandom(seed));

    digest =
        new DigestPublisher(clock, settings, effects, store, machines::rooms, holder::pendingCpus);
    users =
        new Users(
            clock,
            settings,
            store,
            jobEntries,
            types,
            connectivity,
            cancellations,
            clusterVersion,
            holder::running);
    store.subscribe(
        new StateChangeDispatcher(
            List.of(
                imageSizes::jobChanged,
                openJobs::jobChanged,
                cancellations::jobChanged,
                users::jobChanged,
                ownership::jobChanged,
                holder::jobChanged),
            holder::bitsChanged,
            ownership::machineChanged,
            List.of(view::gone, holder::machineGone),
            reclaimed::overtaken,
            publisher::touch,
            this::replicaComplete));
  }

  /** Sets the steady time and the time of day, both in ms, for the event that follows. */
  public void time(long steadyMs, long wallMs) {
    clock.advance(steadyMs, wallMs);
  }

  /** Runs what is due; the caller calls again after every event and at least every tick. */
  public void settle() {
    clock.runDue();
    if (placementTrigger.takeDue()) {
      placement.round();
    }
    commands.push();
  }

  /** When the next timer is due, for callers that sleep; {@code Long.MAX_VALUE}: none. */
  public long nextTimer() {
    return clock.nextTimer();
  }

  /** The regular duties; to be called every {@link Constants#TICK_MS}. */
  public void tick() {
    lag.ticked(clock.now());
    store.tick();
    types.tick();
    clock.started();
    boolean late = clock.now() - clock.startedAt() > Constants.RECLAIM_AFTER_MS;
    if (late && store.synced() && !types.isEmpty() && store.sessionGood()) {
      reclaimed.reclaim();
    }
    owner.tick();
    holder.tick();
    quota.tick();
    fleet.tick();
    digest.tick();
    placementTrigger.request();
    settle();
  }

  /** A worker has reported. */
  public void report(Report report, Consumer<ReportAnswer> reply) {
    heartbeats.report(report, reply);
    settle();
  }

  /** A user has submitted a job. */
  public void submit(JobSpec spec, Consumer<UserAnswer> reply) {
    users.submit(spec, reply);
    settle();
  }

  /** A submission that is wrong by itself, unless a controller of another version accepted it. */
  public void refuse(String id, String why, Consumer<UserAnswer> reply) {
    users.refuse(id, 400, why, reply);
    settle();
  }

  /** A user asks for a job's state. */
  public void query(String id, Consumer<UserAnswer> reply) {
    users.query(id, reply);
    settle();
  }

  /** A user cancels a job. */
  public void cancel(String id, Consumer<UserAnswer> reply) {
    users.cancel(id, reply);
    settle();
  }

  /** Whether users' requests can be taken. */
  public boolean ready() {
    return users.ready();
  }

  /** A new connection to a peer stands; numbers only grow within a process. */
  public void connected(String node, long connection) {
    messenger.connected(node, connection);
  }

  /** A peer has sent a message. */
  public void message(PeerMessage message) {
    if (message instanceof Roster roster) {
      receiveStatusUpdate(roster);
    } else if (message instanceof Starts starts) {
      receiveStarts(starts);
    } else if (message instanceof Stops stops) {
      receiveStops(stops);
    }
    settle();
  }

  private void receiveStatusUpdate(Roster update) {
    statusUpdates.receive(update);
  }

  private void receiveStarts(Starts starts) {
    startReceiver.receive(starts);
  }

  private void receiveStops(Stops stops) {
    stopRequests.stops(stops);
  }

  private void jobCancelled(String job) {
    stopRequests.cancelled(job);
  }

  private void scaleOutAnswered() {
    fleet.planSoon();
  }

  private void replicaComplete(long revision) {
    LOG.info("mirror complete at revision {}", revision);
    placementTrigger.request();
  }

  /** Whether this controller leads the job and may place its tasks. */
  boolean mayPlace(String job) {
    return holder.mayPlace(job);
  }

  /** Machines whose published state differs from what is known of them, by name. */
  List<String> unpublishedChanges() {
    return publisher.unpublishedChanges();
  }

  /** Asks the controller to stop a task on one of its machines. */
  void stop(String node, StopOrder stop) {
    messenger.stop(node, stop);
  }

  /** When this process began its regular work; 0: it hasn't. */
  long startedAt() {
    return clock.startedAt();
  }

  /** This process's number; 0: it has none yet. */
  long incarnation() {
    return store.incarnation();
  }

  OwnLag lag() {
    return lag;
  }

  Store store() {
    return store;
  }

  View view() {
    return view;
  }
}
