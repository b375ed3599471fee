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

  private final CoreSettings settings;
  private final Effects effects;
  private final Metrics metrics;
  private final EventClock clock = new EventClock();
  private final OwnLag lag = new OwnLag();
  private final Store store;
  private final View view;
  private final MachineTypeCatalog types;
  private final ImageSizes imageSizes;
  private final OpenJobs openJobs;
  private final Membership membership;
  private final Connectivity connectivity;
  private final Cancellations cancellations;
  private final ClusterVersion clusterVersion;
  private final JobEntries jobEntries;
  private final PeerMessenger messenger;
  private final PlacementTrigger placementTrigger;
  private final Holder holder;
  private final OwnedMachines machines;
  private final MachineRecords records;
  private final RosterPublisher publisher;
  private final Terms terms;
  private final WorkerReports reports;
  private final DirectCommands commands;
  private final MachineAdoption adoption;
  private final ReclaimedMachines reclaimed;
  private final HeartbeatRouter heartbeats;
  private final StopRequestHandler stopRequests;
  private final OwnershipChanges ownership;
  private final Owner owner;
  private final PeerStartReceiver startReceiver;
  private final StatusUpdateReceiver statusUpdates;
  private final MachineDemand demand;
  private final JobRanking ranking;
  private final GrantLedger quota;
  private final Fleet fleet;
  private final Placement placement;
  private final DigestPublisher digest;
  private final Users users;

  /** A core that does nothing before its first event. */
  public Core(
      CoreSettings settings, Effects effects, Policy.Book policies, Metrics metrics, long seed) {
    this.settings = settings;
    this.effects = effects;
    this.metrics = metrics;
    store = new Store(clock, settings, effects);
    view = new View(clock, store);
    types = new MachineTypeCatalog(clock, effects);
    imageSizes = new ImageSizes();
    openJobs = new OpenJobs();
    membership = new Membership(settings, store);
    connectivity = new Connectivity(clock, settings, store, view);
    cancellations = new Cancellations(store, this::jobCancelled);
    clusterVersion = new ClusterVersion(settings, store);
    jobEntries = newJobEntries();
    messenger =
        new PeerMessenger(settings, effects, store, view, this::receiveStarts, this::receiveStops);
    placementTrigger = new PlacementTrigger(clock, lag);
    holder = newHolder();
    machines = new OwnedMachines(clock, settings, store, view);
    records = new MachineRecords(settings, effects, store);
    publisher = newPublisher();
    terms = new Terms(machines, records, publisher);
    reports = newReports();
    commands =
        new DirectCommands(
            clock, effects, store, connectivity, cancellations, reports, machines, terms);
    adoption = newAdoption();
    reclaimed = new ReclaimedMachines(clock, settings, store, types, machines, records, publisher);
    heartbeats = newHeartbeats();
    stopRequests = new StopRequestHandler(clock, machines, publisher, commands);
    ownership = new OwnershipChanges(settings, store, machines, publisher, adoption, reclaimed);
    owner = newOwner();
    startReceiver = newStartReceiver();
    statusUpdates = newStatusUpdates();
    demand = new MachineDemand(clock, settings, view, types, openJobs);
    types.subscribe(demand::typesChanged);
    ranking = new JobRanking(clock, settings, view, types, demand);
    quota = newQuota();
    fleet = newFleet();
    placement = newPlacement(policies, seed);
    digest = newDigest();
    users = newUsers();
    store.subscribe(newDispatcher());
  }

  private JobEntries newJobEntries() {
    return new JobEntries(
        settings, effects::encodedSize, clusterVersion::allowsSmallPieces, store::held);
  }

  private Holder newHolder() {
    return new Holder(
        clock,
        settings,
        store,
        jobEntries,
        view,
        openJobs,
        membership,
        messenger,
        placementTrigger);
  }

  private RosterPublisher newPublisher() {
    return new RosterPublisher(
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
  }

  private WorkerReports newReports() {
    return new WorkerReports(
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
  }

  private MachineAdoption newAdoption() {
    return new MachineAdoption(
        clock, settings, store, view, types, membership, machines, records, reports);
  }

  private HeartbeatRouter newHeartbeats() {
    return new HeartbeatRouter(clock, store, types, connectivity, machines, reports, adoption);
  }

  private Owner newOwner() {
    OrphanTakeover orphans =
        new OrphanTakeover(
            clock, settings, effects, store, view, types, membership, machines, records, reports);
    LeaseExpiry leases = new LeaseExpiry(settings, store, machines, terms, publisher);
    return new Owner(clock, machines, records, publisher, commands, adoption, orphans, leases);
  }

  private PeerStartReceiver newStartReceiver() {
    StartVetting vetting =
        new StartVetting(clock, store, jobEntries, connectivity, cancellations, machines);
    StartRequestHandler startRequests =
        new StartRequestHandler(metrics, store, machines, publisher, commands, vetting);
    return new PeerStartReceiver(view, startRequests::starts);
  }

  private StatusUpdateReceiver newStatusUpdates() {
    return new StatusUpdateReceiver(
        store, view, cancellations, publisher::statementSentAt, holder::roster, placementTrigger);
  }

  private GrantLedger newQuota() {
    return new GrantLedger(
        clock, settings, store, jobEntries, openJobs, placementTrigger, holder, ranking::order);
  }

  private Fleet newFleet() {
    double callsPerSecond = settings.cloudRps();
    Budget calls =
        new Budget(
            callsPerSecond * Constants.BUDGET_SHARE, callsPerSecond * 2 * Constants.BUDGET_SHARE);
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
    return new Fleet(
        clock, settings, store, view, types, demand, listing, rentals, returns, messenger);
  }

  private Placement newPlacement(Policy.Book policies, long seed) {
    Entitlements entitlements = new Entitlements(settings, openJobs);
    WaitingWork waiting =
        new WaitingWork(clock, settings, store, view, types, openJobs, demand, ranking);
    PolicyFacts facts = new PolicyFacts(clock, settings, view, types, demand, waiting);
    StartSender starts = new StartSender(clock, settings, metrics, store, view, messenger, holder);
    Preemption preemption = new Preemption(clock, store, view, demand, entitlements, facts);
    ReplicaRelocation relocation =
        new ReplicaRelocation(view, messenger, policies, holder, quota, facts, starts);
    return new Placement(
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
  }

  private DigestPublisher newDigest() {
    return new DigestPublisher(
        clock, settings, effects, store, machines::rooms, holder::pendingCpus);
  }

  private Users newUsers() {
    return new Users(
        clock,
        settings,
        store,
        jobEntries,
        types,
        connectivity,
        cancellations,
        clusterVersion,
        holder::running);
  }

  private StateChangeDispatcher newDispatcher() {
    return new StateChangeDispatcher(
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
        this::replicaComplete);
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
