package mallowstall.core;

import java.util.List;
import java.util.function.Consumer;
import mallowstall.core.Model.Report;
import mallowstall.core.Model.ReportAnswer;

/**
 * Decides who answers a worker's report: this controller, because it leads the machine or takes it
 * over, another one, or nobody if the report may be a late copy.
 */
final class HeartbeatRouter {
  private final EventClock clock;
  private final Store store;
  private final MachineTypeCatalog types;
  private final Connectivity connectivity;
  private final OwnedMachines machines;
  private final WorkerReports reports;
  private final MachineAdoption adoption;

  HeartbeatRouter(
      EventClock clock,
      Store store,
      MachineTypeCatalog types,
      Connectivity connectivity,
      OwnedMachines machines,
      WorkerReports reports,
      MachineAdoption adoption) {
    this.clock = clock;
    this.store = store;
    this.types = types;
    this.connectivity = connectivity;
    this.machines = machines;
    this.reports = reports;
    this.adoption = adoption;
  }

  /** A worker has reported; {@code reply} is called once, perhaps later. */
  void report(Report report, Consumer<ReportAnswer> reply) {
    long now = clock.now();
    if (!store.synced()
        || store.incarnation() == 0
        || types.isEmpty()
        || !connectivity.mayKeepAlive()) {
      reply.accept(ReportAnswer.unable());
      return;
    }
    if (connectivity.isolatedFromStateService()) {
      // New jobs aren't known here, so these machines would stand idle: send them where they are.
      reply.accept(ReportAnswer.elsewhere(connectivity.reachablePeer()));
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
}
