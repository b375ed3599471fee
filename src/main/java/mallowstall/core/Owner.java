package mallowstall.core;

import java.util.List;
import java.util.function.Consumer;
import mallowstall.Constants;
import mallowstall.core.Model.JobSpec;
import mallowstall.core.Model.MachineRec;
import mallowstall.core.Model.Report;
import mallowstall.core.Model.ReportAnswer;
import mallowstall.core.Model.Room;
import mallowstall.core.Model.StartOrder;
import mallowstall.core.Model.Starts;
import mallowstall.core.Model.StopOrder;
import mallowstall.core.Model.Stops;
import mallowstall.core.Model.TaskRef;
import mallowstall.core.Model.TaskReport;
import mallowstall.core.Model.TaskState;
import mallowstall.core.OwnedMachine.Reservation;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The machines that report to this controller. Vets every start against booked free room, passes it
 * on under its own token, and tells everybody in rosters what is on its machines.
 */
final class Owner {
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.owner");

  private final Core core;
  private final Store store;
  private final OwnedMachines machines;
  private final MachineRecords records;
  private final RosterPublisher publisher;
  private final Terms terms;
  private final WorkerReports reports;
  private final DirectCommands commands;
  private final StartVetting vetting;
  private final MachineAdoption adoption;
  private final ReclaimedMachines reclaimed;
  private final OrphanTakeover orphans;

  Owner(Core core, Store store) {
    this.core = core;
    this.store = store;
    machines = new OwnedMachines(core, store);
    records = new MachineRecords(core, store);
    publisher = new RosterPublisher(core, store, machines);
    terms = new Terms(machines, records, publisher);
    reports = new WorkerReports(core, store, machines, publisher, terms);
    commands = new DirectCommands(core, store, reports, machines, terms);
    vetting = new StartVetting(core, store, machines);
    adoption = new MachineAdoption(core, store, machines, records, reports);
    reclaimed = new ReclaimedMachines(core, store, machines, records, publisher);
    orphans = new OrphanTakeover(core, store, machines, records, reports);
  }

  /** Something has changed that is to be told soon. */
  void touch() {
    publisher.touch();
  }

  /**
   * The job is cancelled: its tasks that wait for their image are stopped at once, at the worker's
   * own address, since they would begin before the next report's answer. Those that run are stopped
   * by that answer, as are these if the command goes astray.
   */
  void cancelled(String job) {
    publisher.touch(); // peers hear of it soon
    for (OwnedMachine machine : machines.all()) {
      for (TaskReport task : machine.tasks.values()) {
        if (task.state() != TaskState.FETCHING || !task.job().equals(job)) {
          continue;
        }
        machine.stops.put(
            new TaskKey(job, task.task()),
            new StopOrder(machine.id, job, task.task(), task.attempt(), 0));
        commands.wanted(machine);
      }
    }
  }

  /**
   * A job has become known whose tasks may be on machines that came over from an owner whose mirror
   * was ahead: only now their room counts. Until the next restatement such a machine was told as
   * free.
   */
  void jobKnown(String id) {
    for (OwnedMachine machine : machines.all()) {
      for (TaskReport task : machine.tasks.values()) {
        if (!task.job().equals(id)) {
          continue;
        }
        machine.changed = true;
        publisher.touch();
        break;
      }
    }
  }

  void report(Report report, Consumer<ReportAnswer> reply) {
    long now = core.now();
    if (!store.synced()
        || store.incarnation() == 0
        || core.types().isEmpty()
        || !core.mayKeepAlive()) {
      reply.accept(ReportAnswer.unable());
      return;
    }
    if (core.cutOffAlone()) {
      // New jobs aren't known here, so these machines would stand idle: send them where they are.
      reply.accept(ReportAnswer.elsewhere(core.servedPeer()));
      return;
    }
    OwnedMachine machine = machines.get(report.machine());
    if (machine != null && report.token() <= machine.term) {
      if (machine.lost && report.session() <= machine.session) {
        // sent before its lease ran out and delivered late: the tasks it lists are gone for certain
        reply.accept(ReportAnswer.unable());
        return;
      }
      if (report.session() < machine.session
          || (report.session() == machine.session && report.seq() <= machine.handledReport)) {
        // A late copy: reports of a worker come one at a time. It renews nothing.
        reply.accept(ReportAnswer.unable());
        return;
      }
      if (report.session() == machine.session && report.seq() <= machine.newestReport) {
        // Overtaken by the answer of a direct command: it says nothing new. To refuse it would
        // send a healthy worker to another controller.
        machine.handledReport = report.seq();
        machine.answeredAt = now;
        reply.accept(ReportAnswer.ok(machine.term, List.of()));
        return;
      }
      reply.accept(reports.handle(machine, report));
      return;
    }
    adoption.adopt(report, reply);
  }

  /** Starts from a holder; each is booked or refused. */
  void starts(Starts starts) {
    for (StartOrder start : starts.starts()) {
      String refusal = vetting.refusal(starts, start);
      if (refusal == null) {
        book(start);
      } else {
        publisher.refuse(start, refusal);
      }
    }
    publisher.touch();
  }

  private void book(StartOrder start) {
    OwnedMachine machine = machines.get(start.machine());
    JobSpec spec = store.job(start.job()).spec();
    machine.reservations.put(new TaskKey(start.job(), start.task()), new Reservation(start, spec));
    for (TaskRef ref : start.instead()) {
      TaskAttempt attempt = TaskAttempt.of(ref);
      if (machine.tasks.containsKey(attempt) && machine.replaced.add(attempt)) {
        replace(machine, attempt, start);
      }
    }
    machine.idleSince = 0;
    machine.changed = true;
    commands.wanted(machine);
    LOG.debug(
        "start {}/{} attempt {} booked on {}",
        start.job(),
        start.task(),
        start.attempt(),
        start.machine());
  }

  /** Stops a task that the accepted start replaces. */
  private void replace(OwnedMachine machine, TaskAttempt attempt, StartOrder start) {
    LOG.info(
        "{}/{} stops {}/{} on {}",
        start.job(),
        start.task(),
        attempt.job(),
        attempt.task(),
        machine.id);
    core.metrics().count("preemptions");
    StopOrder stop = new StopOrder(machine.id, attempt.job(), attempt.task(), attempt.attempt(), 0);
    machine.stops.put(attempt.key(), stop);
  }

  /** Stops and drains from holders and from the fleet. */
  void stops(Stops stops) {
    for (StopOrder stop : stops.stops()) {
      OwnedMachine machine = machines.get(stop.machine());
      if (machine == null) {
        continue;
      }
      TaskKey key = new TaskKey(stop.job(), stop.task());
      Reservation reservation = machine.reservations.get(key);
      if (machine.tasks.containsKey(new TaskAttempt(stop.job(), stop.task(), stop.attempt()))
          || (reservation != null && reservation.order.attempt() == stop.attempt())) {
        LOG.info(
            "stop {}/{} attempt {} on {} asked by {}",
            stop.job(),
            stop.task(),
            stop.attempt(),
            stop.machine(),
            stops.node());
        machine.stops.put(key, stop);
        commands.wanted(machine);
      }
    }
    for (String id : stops.drains()) {
      OwnedMachine machine = machines.get(id);
      if (machine != null) {
        machine.drainUntil = core.now() + Constants.DRAIN_LIFE_MS;
        publisher.touch();
      }
    }
  }

  /** The machine's record has changed; null: it was returned. */
  void machineChanged(String id, MachineRec record) {
    if (record == null) {
      adoption.returned(id);
    } else {
      reclaimed.ownedBetween(id, record);
    }
    OwnedMachine machine = machines.get(id);
    if (machine == null) {
      return;
    }
    if (record == null) {
      publisher.disown(id);
    } else if (record.node().equals(core.node()) && record.incarnation() == store.incarnation()) {
      // this controller's own raise or adoption, seen before its answer is handled
      if (!machine.termChanging && record.token() > machine.term) {
        publisher.disown(id);
      }
    } else if (record.token() > machine.term) {
      LOG.debug("machine {} is now owned by {} under term {}", id, record.node(), record.token());
      publisher.disown(id);
    }
  }

  /** Another controller's record of the machine came to be known beside this one's own. */
  void overtaken(String id, MachineRec record) {
    reclaimed.overtaken(id, record);
  }

  /** Takes over the machines of this controller's former process. */
  void reclaim() {
    reclaimed.reclaim();
  }

  /** Sends what waits to be sent to workers' own addresses. */
  void push() {
    commands.push();
  }

  /** When this statement was made; never, if it is forgotten or unknown. */
  long statementSentAt(long serial) {
    return publisher.statementSentAt(serial);
  }

  /** See {@link RosterPublisher#untold}. */
  List<String> unpublishedChanges() {
    return publisher.unpublishedChanges();
  }

  /** See {@link OwnedMachines#rooms}. */
  List<Room> rooms() {
    return machines.rooms();
  }

  /** The regular duties. */
  void tick() {
    long now = core.now();
    orphans.tick(now);
    adoption.expire(now);
    for (OwnedMachine machine : machines.all()) {
      if (machine.commandLost && !machine.termRaised) {
        terms.raise(machine);
      }
      if (leaseIsOver(machine, now)) {
        writeOff(machine, now);
      }
    }
    records.sweep(now);
    for (OwnedMachine machine : machines.all()) {
      if (!machine.stops.isEmpty() || !machine.reservations.isEmpty()) {
        commands.wanted(machine);
      }
    }
    commands.push();
    publisher.tick(now);
  }

  /**
   * Whether nobody can have answered the machine for so long that its tasks are gone for certain.
   */
  private boolean leaseIsOver(OwnedMachine machine, long now) {
    long leaseMs =
        (long) (core.settings().leaseMs() * (1 + 2 * Constants.DRIFT))
            + Constants.WRITE_OFF_MARGIN_MS;
    if (machine.lost || now - machine.answeredAt <= leaseMs) {
      return false;
    }
    // unconfirmed: a former owner may still be answering it, unless it was our own former process
    // (a late copy of a report to that one may have told a session: that changes nothing)
    if (!machine.confirmed && (!machine.reclaimed || machine.disputed)) {
      return false;
    }
    // Who owned it between the former process and this one may still be unknown here: a group's
    // record isn't compared with. Written off then, its tasks were started a second time.
    if (machine.reclaimed && machine.version > store.revision()) {
      return false;
    }
    // the mirror has passed the end of the lease and still names this controller
    return store.freshAt() > machine.answeredAt + leaseMs;
  }

  private void writeOff(OwnedMachine machine, long now) {
    LOG.info(
        "machine {} written off with {} tasks: silent beyond its lease",
        machine.id,
        machine.tasks.size());
    machine.writeOff(now);
    publisher.touch();
  }
}
