package mallowstall.core;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import mallowstall.Constants;
import mallowstall.core.Effects.Code;
import mallowstall.core.Effects.Cond;
import mallowstall.core.Effects.Put;
import mallowstall.core.Effects.Txn;
import mallowstall.core.MachineRentals.Rented;
import mallowstall.core.Model.CoreSettings;
import mallowstall.core.Model.DutyRec;
import mallowstall.core.Model.JobRec;
import mallowstall.core.Model.Listed;
import mallowstall.core.Model.MachineRec;
import mallowstall.core.Model.MachineType;
import mallowstall.core.Model.RosterTask;
import mallowstall.core.Model.TaskState;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Plans which machines are rented and returned while this controller has the cloud duty; decides by
 * class of machine type, not by task.
 */
final class Fleet {
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.fleet");

  /** What one plan finds of the machines. Mutable. */
  private static final class Inventory {
    /** Machines that serve or will, by type. */
    final Map<String, Integer> have = new HashMap<>();

    /** Machines that have a record. */
    final Set<String> known = new HashSet<>();

    /** Machines that serve. */
    final List<View.Seen> up = new ArrayList<>();

    /** Machines to be returned. */
    final List<String> lost = new ArrayList<>();

    /** Machines of dead owners that have turned to nobody. */
    final List<String> orphans = new ArrayList<>();

    /** Silent machines with replicas. */
    final List<String> silentHosts = new ArrayList<>();

    int silent;

    void serves(String type) {
      have.merge(type, 1, Integer::sum);
    }
  }

  private final EventClock clock;
  private final CoreSettings settings;
  private final View view;
  private final MachineTypeCatalog types;
  private final PeerMessenger messenger;
  private final Store store;
  private final MachineDemand demand;
  private final CloudListing listing;
  private final MachineRentals rentals;
  private final MachineReturns returns;
  private final Map<String, Long> unaccountedSince = new HashMap<>();

  /** Faulty machines that have replicas still to be moved. */
  private final Map<String, Long> replaceSince = new HashMap<>();

  private final RetryDelay claimRetry = new RetryDelay();
  private boolean claiming;
  private long nextPlan;
  private long nextDemand;

  Fleet(
      EventClock clock,
      CoreSettings settings,
      Store store,
      View view,
      MachineTypeCatalog types,
      MachineDemand demand,
      CloudListing listing,
      MachineRentals rentals,
      MachineReturns returns,
      PeerMessenger messenger) {
    this.clock = clock;
    this.settings = settings;
    this.view = view;
    this.types = types;
    this.messenger = messenger;
    this.store = store;
    this.demand = demand;
    this.listing = listing;
    this.rentals = rentals;
    this.returns = returns;
  }

  /** A scale-out request has been answered: what else is missing is asked for soon. */
  void planSoon() {
    nextPlan = Math.min(nextPlan, clock.now() + Constants.PLAN_SOON_MS);
  }

  boolean onDuty() {
    Store.Held stored = store.held(Store.DUTY);
    if (stored == null || !store.sessionGood()) {
      return false;
    }
    DutyRec duty = (DutyRec) stored.value();
    return duty.node().equals(settings.node()) && duty.incarnation() == store.incarnation();
  }

  void tick() {
    long now = clock.now();
    if (!store.synced() || types.isEmpty()) {
      return;
    }
    if (now >= nextDemand) {
      nextDemand = now + Constants.FLEET_EVERY_MS / 2;
      demand.count(now);
    }
    if (!store.sessionGood()) {
      return;
    }
    if (store.held(Store.DUTY) == null && !claiming && claimRetry.due(now)) {
      claim();
    }
    if (!onDuty()) {
      return;
    }
    listing.tick(now);
    if (now >= nextPlan) {
      nextPlan = now + Constants.FLEET_EVERY_MS;
      plan(now);
    }
    returns.tick(now);
  }

  private void claim() {
    claiming = true;
    boolean asked =
        store.transact(
            // behind the adoptions of a fleet it waited for a minute, and jobs for its returns
            Store.Urgency.MACHINE,
            new Txn(
                List.of(new Cond(Store.DUTY, 0)),
                List.of(
                    new Put(
                        Store.DUTY,
                        new DutyRec(settings.node(), store.incarnation()),
                        store.leaseId())),
                List.of()),
            reply -> {
              claiming = false;
              claimRetry.answered(clock.now(), reply.code());
              if (reply.code() == Code.OK) {
                LOG.info("cloud duty taken");
              }
            });
    if (!asked) {
      claiming = false;
    }
  }

  private void plan(long now) {
    Inventory inventory = new Inventory();
    for (Map.Entry<String, Store.Held> entry : store.under(Store.MACHINES).entrySet()) {
      String id = entry.getKey().substring(Store.MACHINES.length());
      countRecorded(id, (MachineRec) entry.getValue().value(), inventory, now);
    }
    // Its owner is gone and it has turned to nobody: while it is unaccounted for, jobs taken over
    // wait, and a return is proof. Many at once would rather mean that their arrival is what is
    // slow.
    if (few(inventory.orphans.size(), inventory)) {
      inventory.lost.addAll(inventory.orphans);
    }
    // A silent machine's replicas can start elsewhere once its lease is over, or at once when it is
    // returned. Many at once are cut off rather than dead, and go on if the cut is short: all count
    // that are silent, since a cut's machines pass the longer time one by one.
    if (few(inventory.silent, inventory)) {
      inventory.lost.addAll(inventory.silentHosts);
    }
    unaccountedSince.keySet().retainAll(inventory.known);
    replaceSince.keySet().retainAll(inventory.known);
    returns.expire(now);
    if (LOG.isDebugEnabled()) {
      logUse(inventory.up);
    }
    countListed(inventory, now);
    countComing(inventory, now);
    for (String type : types.names()) {
      planType(type, inventory.have.getOrDefault(type, 0), inventory.up, now);
    }
    List<String> lost = returns.open(inventory.lost);
    if (!lost.isEmpty()) {
      returns.returnMachines(lost, "lost, failed or faulty");
    }
  }

  /** At most a quarter of all machines. */
  private static boolean few(int machines, Inventory inventory) {
    return machines * 4 <= inventory.known.size() + 4;
  }

  /** A machine that has a record, so that it has reported at least once. */
  private void countRecorded(String id, MachineRec record, Inventory inventory, long now) {
    inventory.known.add(id);
    rentals.coming().remove(id);
    View.Seen machine = view.machines.get(id);
    boolean ownerLive = store.live(record.node(), record.incarnation());
    if (view.accounted(id, record)
        && ownerLive
        && now - view.heardAt(machine) < 2 * Constants.ROSTER_STALE_MS) {
      unaccountedSince.remove(id);
      countAccounted(machine, inventory, now);
      return;
    }
    boolean ownerNotHeard =
        ownerLive
            && !record.node().equals(settings.node())
            && now - view.peer(record.node()).rosterAt > Constants.ROSTER_STALE_MS;
    if (ownerNotHeard) {
      inventory.serves(record.type());
      return;
    }
    long unaccounted = now - unaccountedSince.computeIfAbsent(id, k -> now);
    if (unaccounted > settings.leaseMs() + 2 * Constants.SILENT_RETURN_MS) {
      inventory.lost.add(id);
    } else if (!ownerLive && unaccounted > comesBackMs()) {
      inventory.orphans.add(id);
    } else {
      inventory.serves(record.type());
    }
  }

  /** A machine whose owner lives and tells of it. */
  private void countAccounted(View.Seen machine, Inventory inventory, long now) {
    if (machine.state.silent()) {
      long silentMs = machine.idleMs(now);
      if (taken(machine, now) || silentMs > settings.leaseMs() + Constants.SILENT_RETURN_MS) {
        inventory.lost.add(machine.id);
        return;
      }
      inventory.silent++;
      if (silentMs > silentHostMs() && view.hostsReplicas(machine)) {
        inventory.silentHosts.add(machine.id);
      }
    } else if (machine.state.replace()) {
      if (!view.hostsReplicas(machine) || replaceLate(machine.id, now)) {
        inventory.lost.add(machine.id);
      }
    } else if (machine.state.noticeS() < 0) {
      inventory.serves(machine.state.type());
      inventory.up.add(machine);
    }
  }

  /** How long a machine whose owner is gone may take to turn to another. */
  private long comesBackMs() {
    return Constants.COMES_BACK_MS + settings.reportMs() * 3 / 2;
  }

  /** Machines that the cloud lists and that nobody has heard of are coming, or never will. */
  private void countListed(Inventory inventory, long now) {
    for (Listed listed : listing.machines()) {
      String id = listed.id();
      if (inventory.known.contains(id) || returns.underWay(id) || returns.lately(id, now)) {
        continue;
      }
      MachineType type = types.find(listed.type());
      double age = listed.ageS() + (now - listing.readAt()) / 1000.0;
      if (listed.state().equals("failed") || type != null && age > bootLimitS(type)) {
        inventory.lost.add(id);
      } else {
        long rentedAt = now - (long) (age * 1000);
        rentals
            .coming()
            .putIfAbsent(id, new Rented(listed.type(), listed.zone(), listed.spot(), rentedAt));
      }
    }
  }

  /** Machines that are coming count unless they take too long or the cloud doesn't list them. */
  private void countComing(Inventory inventory, long now) {
    long lag = settings.listLagMs();
    for (Map.Entry<String, Rented> entry : new ArrayList<>(rentals.coming().entrySet())) {
      String id = entry.getKey();
      Rented rented = entry.getValue();
      MachineType type = types.find(rented.type());
      double limitS = type == null ? Constants.BOOT_UNKNOWN_S : bootLimitS(type);
      boolean vanished =
          now - rented.at() > 4 * lag
              && listing.readAt() > rented.at() + 3 * lag
              && !listing.names(id);
      if (now - rented.at() > limitS * 1000 || vanished) {
        rentals.coming().remove(id);
        inventory.lost.add(id);
      } else {
        inventory.serves(rented.type());
      }
    }
  }

  /**
   * Silent at the end of its notice: the cloud has it back, and a return proves at once what its
   * lease would prove only later.
   */
  private static boolean taken(View.Seen machine, long now) {
    double left = machine.state.noticeS() - (now - machine.updatedAt) / 1000.0;
    return machine.state.noticeS() >= 0 && left < Constants.NOTICE_OVER_S;
  }

  /** Some reports later than where a machine counts as silent. */
  private long silentHostMs() {
    return Constants.SILENT_HOST_MS + settings.reportMs();
  }

  /** Whether a faulty machine's replicas have had their time to be moved. */
  private boolean replaceLate(String id, long now) {
    return now - replaceSince.computeIfAbsent(id, k -> now) > Constants.MOVE_KEEPS_ROOM_MS;
  }

  /** After so many seconds a machine that isn't up is taken for one that never boots. */
  private static double bootLimitS(MachineType type) {
    return Math.max(Constants.BOOT_GIVE_UP_LEAST_S, Constants.BOOT_GIVE_UP * type.bootS());
  }

  /** Where the rented processors go: the first thing to look at when jobs wait. */
  private void logUse(List<View.Seen> up) {
    double running = 0;
    double fetching = 0;
    double booked = 0;
    double free = 0;
    for (View.Seen machine : up) {
      free += machine.state.freeCpus();
      for (RosterTask task : machine.state.tasks()) {
        JobRec job = store.job(task.job());
        if (job == null || task.state() == TaskState.EXITED) {
          continue;
        }
        if (task.state() == null) {
          booked += job.spec().cpus();
        } else if (task.state() == TaskState.FETCHING) {
          fetching += job.spec().cpus();
        } else {
          running += job.spec().cpus();
        }
      }
    }
    LOG.debug(
        "use: {} machines up, cpus running {}, fetching {}, booked {}, free {}",
        up.size(),
        running,
        fetching,
        booked,
        free);
  }

  /** Rents what this type lacks, or returns what it doesn't need. */
  private void planType(String type, int have, List<View.Seen> up, long now) {
    TypeDemand wanted = demand.of(type);
    if (rentals.ready(now) && rentals.rentConstrained(type, wanted, up, now)) {
      return;
    }
    double need = wanted.machines;
    int want =
        (int)
            Math.ceil(
                Math.max(need * Constants.RENT_MARGIN, wanted.average) - Constants.RENT_ROUNDING);
    if (want > have) {
      if (rentals.ready(now)) {
        rentals.rent(type, want - have, want, wanted.spotAllowed, now);
      }
      return;
    }
    if (rentals.ready(now) && rentals.rentForStranded(type, up, now)) {
      return;
    }
    int keep =
        (int)
            Math.ceil(
                Math.max(
                    need * Constants.KEEP_MARGIN, wanted.average * Constants.KEEP_AVERAGE_MARGIN));
    // dear machines are kept for what there is to do more than for what there was
    double was =
        Math.max(
            wanted.urgent * Constants.RESERVE_FACTOR, wanted.average * Constants.ORDINARY_FLOOR);
    int keepOrdinary = Math.min(keep, (int) Math.ceil(Math.max(need * Constants.KEEP_MARGIN, was)));
    if (have > keepOrdinary) {
      returnIdle(type, have, keep, keepOrdinary, up, now);
    }
  }

  /** Returns machines that are drained; drains idle ones down to what is to be kept. */
  private void returnIdle(
      String type, int have, int keep, int keepOrdinary, List<View.Seen> up, long now) {
    List<View.Seen> idle = new ArrayList<>();
    List<String> drained = new ArrayList<>();
    for (View.Seen machine : up) {
      if (!machine.state.type().equals(type)
          || !machine.state.tasks().isEmpty()
          || returns.underWay(machine.id)) {
        continue;
      }
      long patience = machine.state.spot() ? Constants.IDLE_RETURN_MS : Constants.IDLE_ORDINARY_MS;
      if (machine.state.draining()) {
        drained.add(machine.id);
      } else if (machine.idleMs(now) > patience) {
        idle.add(machine);
      }
    }
    if (!drained.isEmpty()) {
      returns.returnMachines(drained, "idle");
      return;
    }
    // the dear ones first, then those that have waited longest
    idle.sort(
        Comparator.comparing((View.Seen machine) -> machine.state.spot())
            .thenComparing(machine -> -machine.idleMs(now)));
    int most = Math.max(1, have / Constants.DRAINED_AT_ONCE_PART);
    int left = have;
    Map<String, List<String>> drains = new HashMap<>();
    for (View.Seen machine : idle) {
      if (have - left >= most || left <= (machine.state.spot() ? keep : keepOrdinary)) {
        break;
      }
      left--;
      drains.computeIfAbsent(machine.owner, k -> new ArrayList<>()).add(machine.id);
    }
    drains.forEach(messenger::drain);
  }
}
