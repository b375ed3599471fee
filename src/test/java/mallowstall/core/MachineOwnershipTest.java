package mallowstall.core;

import static mallowstall.core.SafetyCases.finished;
import static mallowstall.core.SafetyCases.holder;
import static mallowstall.core.SafetyCases.kept;
import static mallowstall.core.SafetyCases.plain;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import mallowstall.Constants;
import mallowstall.core.Model.GroupMachine;
import mallowstall.core.Model.GroupRec;
import mallowstall.core.Model.MachineRec;
import mallowstall.core.Model.Report;
import mallowstall.core.Model.ReportAnswer;
import mallowstall.core.Model.StopOrder;
import mallowstall.core.Model.TaskReport;
import mallowstall.core.Model.TaskState;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Machines that change owner, fall silent, or are heard of late. */
class MachineOwnershipTest {
  /** Changes of machines' owners since that revision. */
  private static long adoptions(Simulation sim, long since) {
    return sim.state.changes.stream()
        .filter(item -> item.version() > since)
        .filter(i -> i.key().startsWith(Store.GROUPS) || i.key().startsWith(Store.MACHINES))
        .count();
  }

  /**
   * A machine that dies with its owner: the jobs taken over wait for it only until its return
   * proves it gone, not until the owner's next process may write it off. It once took 25 s.
   */
  @Test
  void aMachineThatDiesWithItsOwnerHoldsNobodyUpForLong() {
    Simulation sim = new Simulation(44);
    sim.run(8_000);
    sim.submit(plain(sim, "wk-000001", 60, "free"));
    sim.run(12_000);
    SimulatedController node = holder(sim, "wk-000001");
    String dead = null;
    for (SimulatedWorker worker : sim.workers.values()) {
      MachineRec v = sim.machineRec(worker.id);
      if (v != null && v.node().equals(node.name)) {
        dead = worker.id;
      }
    }
    assertNotNull(dead);
    sim.workers.remove(dead).dead = true;
    sim.rules.machineGone(dead);
    node.crash(60_000);
    sim.run(12_000 + 5_500 + 9_000 + 4_000);
    SimulatedController next = holder(sim, "wk-000001");
    assertFalse(next == node);
    assertTrue(next.core.mayPlace("wk-000001"));
    sim.run(160_000);
    finished(sim, "wk-000001");
  }

  /** A report from before the write-off, delivered after it, must not bring its tasks back. */
  @Test
  void aLateReportDoesNotReviveAWrittenOffSession() {
    Simulation sim = new Simulation(42);
    sim.run(6_000);
    SimulatedWorker worker = sim.workers.values().iterator().next();
    SimulatedController owner = sim.nodes.get(sim.machineRec(worker.id).node());
    Report old =
        new Report(
            worker.id,
            worker.id,
            "t8",
            worker.zone,
            worker.spot,
            worker.session,
            worker.seq + 50,
            worker.token,
            null,
            List.of(new TaskReport("wk-000009", 0, 1, TaskState.RUNNING, null, false)));
    sim.killMachine(worker.id);
    sim.run(sim.now + 12_500 + Constants.WATCH_HOLD_MS);
    List<ReportAnswer> got = new ArrayList<>();
    owner.event(() -> owner.core.report(old, got::add));
    assertEquals(503, got.get(0).status());
    View.Seen seen = owner.core.view().machines.get(worker.id);
    assertNotNull(seen);
    assertEquals(List.of(), seen.state.tasks());
  }

  /**
   * Reports arrive, answers and commands don't: the tasks are accounted for by the machine's next
   * session and run elsewhere, nothing is started there, and it is used again once it hears. It
   * drew one start after the other, each of them lost.
   */
  @Test
  void aDeafMachineGetsNoTasksAndLosesItsOwnToOthers() {
    Simulation sim = new Simulation(61);
    sim.runMs = 14_000;
    sim.run(8_000);
    sim.submit(plain(sim, "wk-000001", 12, "free"));
    sim.run(11_000);
    SimulatedWorker worker = null;
    for (SimulatedWorker simWorker : sim.workers.values()) {
      if (!simWorker.tasks.isEmpty()) {
        worker = simWorker;
      }
    }
    assertNotNull(worker);
    worker.deaf = true;
    sim.run(11_000 + Simulation.LEASE + 4_000);
    assertTrue(worker.session > 1, "its lease ran out although its reports were answered");
    for (SimulatedController node : sim.nodes.values()) {
      View.Seen seen = node.core.view().machines.get(worker.id);
      assertFalse(seen != null && seen.takes(), "no start goes to a machine that doesn't hear");
    }
    sim.run(75_000);
    finished(sim, "wk-000001");
    // whether it was replaced meanwhile or not, a machine that hears again serves again
    worker.deaf = false;
    sim.submit(plain(sim, "wk-000002", 30, "free"));
    sim.run(200_000);
    finished(sim, "wk-000002");
  }

  /** The same with a cancellation: it holds on a machine that never hears of it. */
  @Test
  void aCancellationHoldsOnADeafMachine() {
    Simulation sim = new Simulation(62);
    sim.runMs = 100_000;
    sim.run(8_000);
    sim.submit(plain(sim, "wk-000001", 12, "free"));
    sim.run(12_000);
    for (SimulatedWorker worker : sim.workers.values()) {
      worker.deaf = true;
    }
    sim.cancel("wk-000001");
    sim.run(70_000);
    assertEquals("cancelled", sim.rules.lastTold("wk-000001"));
    assertEquals(List.of(), sim.rules.broken);
  }

  private static Report copy(SimulatedWorker worker, long session, long seq, long token) {
    return new Report(
        worker.id,
        worker.id,
        "t8",
        worker.zone,
        worker.spot,
        session,
        seq,
        token,
        null,
        List.of(new TaskReport("wk-000001", 0, 1, TaskState.RUNNING, null, false)));
  }

  /**
   * Late copies at the owner and at any other controller, of a live machine and of one that was
   * returned: the record stays as it is, no task comes to life, and none is answered 200.
   */
  @Test
  void lateCopiesOfReportsChangeNothing() {
    Simulation sim = new Simulation(63);
    sim.run(12_000);
    SimulatedWorker worker = sim.workers.values().iterator().next();
    MachineRec before = sim.machineRec(worker.id);
    Report old = copy(worker, worker.session, worker.seq - 3, worker.token);
    for (SimulatedController node : sim.nodes.values()) {
      List<ReportAnswer> got = new ArrayList<>();
      node.event(() -> node.core.report(old, got::add));
      sim.run(sim.now + 100);
      assertEquals(503, got.get(0).status(), node.name);
    }
    // so new that its owner hasn't told of a newer one: sent to the owner, who is alive
    for (SimulatedController controller : sim.nodes.values()) {
      if (controller.name.equals(before.node())) {
        continue;
      }
      List<ReportAnswer> got = new ArrayList<>();
      controller.event(
          () ->
              controller.core.report(
                  copy(worker, worker.session, worker.seq + 1, worker.token), got::add));
      sim.run(sim.now + 100);
      assertEquals(421, got.get(0).status(), controller.name);
      assertEquals(before.node(), got.get(0).reportTo());
    }
    sim.run(sim.now + 3_000);
    assertEquals(before, sim.machineRec(worker.id));
    for (SimulatedController n : sim.nodes.values()) {
      assertEquals(List.of(), n.core.view().machines.get(worker.id).state.tasks());
    }
    // returned: by the cloud and in the records
    sim.killMachine(worker.id);
    sim.state.transact(
        new Effects.Txn(
            List.of(),
            List.of(new Effects.Put(Store.MACHINES + worker.id, MachineRec.returned(), 0)),
            List.of()));
    sim.run(sim.now + 3_000);
    for (long token : new long[] {0, worker.token}) {
      for (SimulatedController n : sim.nodes.values()) {
        List<ReportAnswer> got = new ArrayList<>();
        n.event(() -> n.core.report(copy(worker, worker.session, worker.seq + 9, token), got::add));
        sim.run(sim.now + 200);
        assertEquals(503, got.get(0).status(), n.name);
      }
    }
    assertEquals(null, sim.machineRec(worker.id));
  }

  /**
   * A controller without state service and peers still answers its workers, who turn to nobody
   * else: the others take them over directly, tasks and all. Its jobs waited 20 s and more.
   */
  @Test
  void machinesOfAControllerCutOffFromAllButThemAreTakenOver() {
    Simulation sim = new Simulation(64);
    sim.runMs = 60_000;
    sim.run(8_000);
    sim.submit(plain(sim, "wk-000001", 40, "free"));
    sim.run(14_000);
    SimulatedController node = holder(sim, "wk-000001");
    sim.isolate(node);
    sim.run(14_000 + Constants.SESSION_TTL_MS + Constants.ORPHAN_ASKED_AFTER_MS + 4_000);
    SimulatedController next = holder(sim, "wk-000001");
    assertFalse(next == node);
    assertTrue(next.core.mayPlace("wk-000001"), "the job goes on while the cut lasts");
    for (SimulatedWorker worker : sim.workers.values()) {
      assertFalse(worker.node.equals(node.name), "its workers have turned to the others");
      assertEquals(1, worker.session, "and kept their tasks");
    }
    sim.run(45_000);
    node.noState = false;
    sim.rejoin();
    sim.run(330_000);
    finished(sim, "wk-000001");
  }

  /**
   * Many machines that turn to the controllers at once are taken over in a few changes: one change
   * each took longer than the leases, and hundreds of tasks were lost with them.
   */
  @Test
  void hundredsOfMachinesChangeOwnerWithinTheirLease() {
    Simulation sim = new Simulation(69);
    sim.addMachines(300);
    sim.run(20_000);
    long before = sim.state.revision;
    sim.crashAll(2_000);
    sim.run(32_000);
    for (SimulatedWorker worker : sim.workers.values()) {
      assertEquals(1, worker.session, worker.id);
    }
    long adoptions = adoptions(sim, before);
    assertTrue(adoptions < 150, "changes for 304 machines: " + adoptions);
    sim.submit(plain(sim, "wk-000001", 40, "free"));
    sim.run(90_000);
    finished(sim, "wk-000001");
  }

  /**
   * Half as many machines again as the largest fleet: all controllers end, and once more just after
   * an outage of the state service. The machines come back within their leases, in few changes, and
   * work goes on.
   */
  @Test
  void fifteenHundredMachinesOutliveTheirControllers() {
    Simulation sim = new Simulation(91);
    sim.addMachines(1_462);
    sim.run(20_000);
    for (int i = 0; i < 6; i++) {
      sim.submit(plain(sim, "wk-00000" + i, 700, "free"));
    }
    sim.run(24_000);
    long before = sim.state.revision;
    sim.crashAll(2_000);
    sim.run(36_000);
    for (SimulatedWorker worker : sim.workers.values()) {
      assertEquals(1, worker.session, worker.id);
    }
    long adoptions = adoptions(sim, before);
    assertTrue(adoptions < 500, "changes for 1,466 machines: " + adoptions);
    sim.state.outage = true;
    sim.run(40_000);
    sim.state.recover();
    sim.crashAll(2_000);
    sim.run(110_000);
    for (int i = 0; i < 6; i++) {
      finished(sim, "wk-00000" + i);
    }
  }

  /**
   * A restarted controller takes over the machines of its former process, counting their leases
   * from its own start. If another has owned one of them in between, which its mirror may tell
   * late, that one may have answered since: writing the machine off would start its tasks twice.
   */
  @Test
  void aMachineThatAnotherOwnedInBetweenIsNotWrittenOff() {
    for (boolean between : new boolean[] {false, true}) {
      Simulation sim = new Simulation(75);
      sim.run(8_000);
      SimulatedWorker worker = sim.workers.values().iterator().next();
      String name = sim.machineRec(worker.id).node();
      SimulatedController node = sim.nodes.get(name);
      SimulatedController other = sim.nodes.get(name.equals("n1") ? "n2" : "n1");
      sim.workers.remove(worker.id).dead = true; // silent; whether it is gone nobody knows
      node.crash(1_000);
      sim.run(9_100);
      long first = node.core.startedAt();
      while (sim.now < 25_000 && !node.core.store().live(name, node.core.incarnation())) {
        sim.run(sim.now + 50);
      }
      MachineRec mine = kept(sim, node, worker.id);
      GroupRec group =
          new GroupRec(
              other.name,
              other.core.incarnation(),
              List.of(new GroupMachine(worker.id, "t8", worker.zone, worker.spot)));
      long revision = mine.token() - 1;
      if (between) {
        node.event(
            () -> node.core.store().apply(new Effects.Item(Store.GROUPS + "9-9", group, revision)));
      }
      sim.run(first + Simulation.LEASE + 6_000);
      assertEquals(!between, node.core.view().machines.get(worker.id).state.lost());
    }
  }

  /**
   * The same with a mirror that lags: the other owner's record, in a group that the change isn't
   * compared with, is known only after the machine was asked for, or after that has succeeded. Seed
   * 1753 of the histories started a task twice so.
   */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void aMachineAnotherOwnedUnknownHereIsNotWrittenOff(boolean inFlight) {
    Simulation sim = new Simulation(78);
    sim.run(8_000);
    SimulatedWorker worker = sim.workers.values().iterator().next();
    String name = sim.machineRec(worker.id).node();
    SimulatedController node = sim.nodes.get(name);
    SimulatedController other = sim.nodes.get(name.equals("n1") ? "n2" : "n1");
    sim.workers.remove(worker.id).dead = true;
    // it is back in an outage and has its mirror only when that lease is over
    sim.state.outage = true;
    node.crash(200);
    while (!node.up || node.core.startedAt() == 0) {
      sim.run(sim.now + 20);
    }
    sim.run(node.core.startedAt() + Simulation.LEASE + 3_000);
    sim.state.recover();
    while (!node.core.store().synced()) {
      sim.run(sim.now + 1);
    }
    node.watchStopped = true;
    long revision = ++sim.state.revision;
    GroupRec group =
        new GroupRec(
            other.name,
            other.core.incarnation(),
            List.of(new GroupMachine(worker.id, "t8", worker.zone, worker.spot)));
    sim.state.set(Store.GROUPS + "9-9", group, revision, 0);
    String key = Store.MACHINES + worker.id;
    SimulatedStateService.Val before = sim.state.keys.get(key);
    if (inFlight) {
      node.recordsLate = 600;
    }
    while (sim.now < 40_000 && sim.state.keys.get(key) == before) {
      sim.run(sim.now + 1);
    }
    MachineRec mine = (MachineRec) sim.state.keys.get(key).value();
    assertEquals(node.core.incarnation(), mine.incarnation(), "kept from the former process");
    assertTrue(sim.state.keys.get(key).version() > revision);
    if (inFlight) {
      node.watchStopped = false;
    }
    sim.run(sim.now + 1_000);
    assertFalse(
        node.core.view().machines.get(worker.id).state.lost(), "nobody knows what is on it");
    node.watchStopped = false;
    sim.run(sim.now + 6_000);
    View.Seen seen = node.core.view().machines.get(worker.id);
    assertTrue(seen == null || !seen.state.lost(), "it must be confirmed, or returned, first");
  }

  /**
   * A machine kept from the former process is dead, and a late copy of one of its reports comes to
   * the new process: it is written off all the same. It once stood unconfirmed for good then, and
   * every job taken over waited for it.
   */
  @Test
  void aLateCopyDoesNotKeepADeadMachineFromBeingWrittenOff() {
    Simulation sim = new Simulation(77);
    sim.run(8_000);
    SimulatedWorker worker = sim.workers.values().iterator().next();
    String name = sim.machineRec(worker.id).node();
    SimulatedController node = sim.nodes.get(name);
    Report late = copy(worker, worker.session, worker.seq, worker.token);
    sim.workers.remove(worker.id).dead = true;
    node.crash(200);
    sim.run(8_300);
    kept(sim, node, worker.id);
    List<ReportAnswer> got = new ArrayList<>();
    node.event(() -> node.core.report(late, got::add));
    assertEquals(200, got.get(0).status(), "taken for the worker's own");
    sim.run(sim.now + Simulation.LEASE + 4_000);
    View.Seen seen = node.core.view().machines.get(worker.id);
    assertTrue(seen == null || seen.state.lost());
  }

  /**
   * A machine reaches no controller, direct commands reach it. Its next session is known from a
   * command's answer alone, and its lease counts from then: seeds 3745 and 3818 of the histories
   * started tasks twice, since it was written off as of the former session's last report.
   */
  @Test
  void aSessionKnownFromACommandAloneHasItsWholeLease() {
    Simulation sim = new Simulation(79);
    sim.runMs = 60_000;
    sim.run(8_000);
    sim.submit(plain(sim, "wk-000001", 16, "free"));
    sim.run(12_000);
    SimulatedWorker worker = null;
    for (SimulatedWorker simWorker : sim.workers.values()) {
      if (simWorker.tasks.size() == 4) {
        worker = simWorker;
      }
    }
    assertNotNull(worker);
    SimulatedWorker mute = worker;
    SimulatedController node = sim.nodes.get(sim.machineRec(worker.id).node());
    List<StopOrder> stops = new ArrayList<>();
    for (SimulatedWorker.T task : worker.tasks.values()) {
      stops.add(new StopOrder(worker.id, task.job, task.task, task.attempt, 0));
    }
    worker.mute = true;
    long from = worker.leaseFrom;
    for (int i = 0; i < 4; i++) {
      // the last one comes in the next session, which the answer tells
      sim.run(i < 3 ? from + 3_000 * (i + 1) : from + Simulation.LEASE + 150);
      StopOrder stop = stops.get(i);
      node.event(() -> node.core.stop(node.name, stop));
      if (i == 1) {
        View.Seen seen = node.core.view().machines.get(mute.id);
        assertFalse(seen.takes(), "it answers commands, but loses its tasks each lease");
        assertFalse(seen.state.silent());
      }
    }
    sim.run(sim.now + 400);
    assertEquals(2, worker.session);
    View.Seen seen = node.core.view().machines.get(worker.id);
    assertEquals(2, seen.state.session(), "known from the answer");
    long known = sim.now;
    while (sim.now < known + Simulation.LEASE - 600) {
      sim.run(sim.now + 200);
      assertFalse(node.core.view().machines.get(worker.id).state.lost(), "at " + (sim.now - known));
    }
    sim.run(known + Simulation.LEASE + 4_000);
    seen = node.core.view().machines.get(worker.id);
    assertTrue(seen == null || seen.state.lost(), "and not a longer one");
  }

  /**
   * Reports don't name images. Whoever owned a machine next took each for missing there, so tasks
   * went to machines that had to fetch theirs whenever a controller had ended.
   */
  @Test
  void imagesStayKnownWhenAMachineChangesOwner() {
    Simulation sim = new Simulation(93);
    sim.run(6_000);
    sim.submit(plain(sim, "wk-000001", 16, "free"));
    sim.run(30_000);
    finished(sim, "wk-000001");
    SimulatedController ends = sim.nodes.get("n0");
    SimulatedController stays = sim.nodes.get("n1");
    List<String> machines = new ArrayList<>();
    for (View.Seen seen : stays.core.view().machines.values()) {
      if ("n0".equals(seen.owner) && seen.state.images().contains("wk-000001")) {
        machines.add(seen.id);
      }
    }
    assertFalse(machines.isEmpty(), "n0 owns machines that have the image");
    ends.crash(30_000);
    sim.run(sim.now + 15_000);
    for (String id : machines) {
      View.Seen seen = stays.core.view().machines.get(id);
      if (seen == null) {
        continue; // it was idle and has been returned
      }
      assertFalse("n0".equals(seen.owner), id);
      assertTrue(seen.state.images().contains("wk-000001"), id);
    }
  }
}
