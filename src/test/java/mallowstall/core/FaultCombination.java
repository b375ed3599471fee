package mallowstall.core;

import static mallowstall.core.SafetyTestSupport.busiestWorker;
import static mallowstall.core.SafetyTestSupport.cancelAt;
import static mallowstall.core.SafetyTestSupport.runningJob;
import static mallowstall.core.SafetyTestSupport.runningTasksByLeader;
import static mallowstall.core.SafetyTestSupport.sum;
import static mallowstall.core.model.JobSpecBuilder.batchJob;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import mallowstall.core.kv.StateKeys;
import mallowstall.core.model.Heartbeat;
import mallowstall.core.model.HeartbeatResponse;
import mallowstall.core.model.JobEntry;
import mallowstall.core.model.JobOutcome;
import mallowstall.core.model.MachineEntry;
import mallowstall.core.model.Priority;
import mallowstall.core.model.TeamUsageEntry;

/** Faults that meet, beside six jobs that run; each case says whether the faults did meet. */
enum FaultCombination {
  /** Cancellations, questions and repetitions at the moment of a job's last end, everywhere. */
  COMPLETION_AND_CANCELLATION {
    @Override
    boolean inject(Simulation sim) {
      sim.cancelAtEndRate = 0.5;
      for (int i = 10; i < 40; i++) {
        sim.users.submit(batchJob("wk-0000" + i).tasks(1 + i % 3).build());
      }
      for (int i = 0; i < 400; i++) {
        sim.schedule(
            i * 100L,
            () ->
                sim.users.scheduleInvalidRequests(1)); // repeats submissions, cancels what is done
      }
      sim.runUntil(sim.nowMs + 60_000);
      sim.cancelAtEndRate = 0;
      return sim.faultCounts.containsKey("cancelAtEnd")
          && sim.faultCounts.containsKey("cancelAtEnd, one task short")
          && sim.faultCounts.containsKey("oddRequests, over again");
    }
  },
  /**
   * A heartbeat is delayed until the machine has another leader, then arrives there and elsewhere.
   */
  DELAYED_HEARTBEAT_AND_NEW_LEADER {
    @Override
    boolean inject(Simulation sim) {
      SimulatedWorker worker = busiestWorker(sim);
      Heartbeat held = worker.snapshot();
      MachineEntry before = sim.machineEntry(worker.id);
      sim.controllers.get(before.node()).crash(9_000);
      long until = sim.nowMs + 15_000;
      while (sim.nowMs < until && sim.machineEntry(worker.id).node().equals(before.node())) {
        sim.runUntil(sim.nowMs + 50);
      }
      sim.runUntil(sim.nowMs + 2_000);
      MachineEntry since = sim.machineEntry(worker.id);
      boolean refused = true;
      for (SimulatedController node : sim.controllers.values()) {
        if (!node.running) {
          continue;
        }
        List<HeartbeatResponse> got = new ArrayList<>();
        node.enqueueEvent(() -> node.core.handleHeartbeat(held, got::add));
        sim.runUntil(sim.nowMs + 200);
        refused &= got.get(0).status() != 200;
      }
      assertTrue(refused, "a heartbeat that old renews nothing");
      return !since.node().equals(before.node());
    }
  },
  /** A leader without state service and peers; its jobs are cancelled through another. */
  LEADER_ISOLATED_AND_CANCELLATION {
    @Override
    boolean inject(Simulation sim) {
      SimulatedWorker worker = busiestWorker(sim);
      SimulatedController node = sim.controllers.get(sim.machineEntry(worker.id).node());
      String job = runningJob(worker);
      sim.isolate(node);
      SimulatedController other = sim.controllers.get(node.name.equals("n1") ? "n2" : "n1");
      assertEquals("cancelled", cancelAt(sim, other, job).state());
      boolean apart = sum(runningTasksByLeader(sim, job)) > 0;
      sim.runUntil(sim.nowMs + Simulation.CANCEL_MS);
      assertEquals(0, sum(runningTasksByLeader(sim, job)));
      sim.runUntil(sim.nowMs + 10_000);
      node.stateServiceUnreachable = false;
      sim.healPartitions();
      return apart;
    }
  },
  /** All controllers are away for longer than a lease. */
  ALL_DOWN_FOR_A_LEASE {
    @Override
    boolean inject(Simulation sim) {
      for (SimulatedController node : sim.controllers.values()) {
        node.crash(Simulation.LEASE_MS + 5_000);
      }
      sim.runUntil(sim.nowMs + Simulation.LEASE_MS + 4_000);
      return sim.workers.values().stream()
          .allMatch(worker -> worker.epoch > 1 && worker.tasks.isEmpty());
    }
  },
  /** The state service is slow, then refuses a leader, then all, while users cancel and ask. */
  SLOW_STATE_AND_CANCELLATION {
    @Override
    boolean inject(Simulation sim) {
      sim.maxStateDelayMs = 2_500;
      sim.schedule(2_000, () -> sim.users.cancelRunningJobs(3, 0));
      sim.schedule(9_000, () -> sim.users.scheduleInvalidRequests(20));
      sim.runUntil(sim.nowMs + 20_000);
      sim.maxStateDelayMs = 0;
      sim.rejectOneThenOutage(sim.controllers.get("n0"), 3_000, Simulation.CANCEL_MS + 5_000);
      sim.schedule(2_500, () -> sim.users.cancelRunningJobs(2, 0));
      sim.runUntil(sim.nowMs + Simulation.CANCEL_MS + 10_000);
      return sim.faultCounts.containsKey("slowState") && sim.faultCounts.containsKey("cancelNow");
    }
  },
  /** A team at its limit, a change of leader, machines that can't be asked, a cancellation. */
  TEAM_AT_QUOTA {
    @Override
    boolean inject(Simulation sim) {
      for (int i = 1; i <= 4; i++) {
        sim.users.cancel("wk-00000" + i); // makes room for it
      }
      double used = 0;
      for (long until = sim.nowMs + 20_000;
          used < 22 && sim.nowMs < until;
          sim.runUntil(sim.nowMs + 200)) {
        used =
            ((TeamUsageEntry) sim.stateService.entries.get(StateKeys.team("tight")).value())
                .reservedCpus();
      }
      SimulatedController node = sim.controllers.get(sim.jobEntry("wk-000005").leader());
      node.crash(700);
      int i = 0;
      for (SimulatedWorker worker : sim.workers.values()) {
        if (i++ % 2 != 0) {
          continue;
        }
        worker.partitioned = true;
        sim.schedule(15_000, () -> worker.partitioned = false);
      }
      sim.schedule(1_500, () -> sim.users.cancel("wk-000005"));
      sim.runUntil(sim.nowMs + 30_000);
      return used >= 22;
    }
  },
  /** More work than room, urgent and not, over slow links. */
  OVERLOAD_WITH_SLOW_LINKS {
    @Override
    boolean inject(Simulation sim) {
      for (SimulatedController node : sim.controllers.values()) {
        node.stateDelayMs = 400;
      }
      sim.statusUpdateFaultRate = 0.3;
      for (int i = 10; i < 50; i++) {
        Priority priority = Priority.values()[i % 4];
        sim.users.submit(batchJob("wk-0000" + i).tasks(4).priority(priority).build());
      }
      sim.runUntil(sim.nowMs + 40_000);
      long open =
          sim.stateService.entries.values().stream()
              .filter(
                  value ->
                      value.value() instanceof JobEntry job && job.outcome() == JobOutcome.NONE)
              .count();
      for (SimulatedController controller : sim.controllers.values()) {
        controller.stateDelayMs = 0;
      }
      sim.statusUpdateFaultRate = 0;
      return open > 5;
    }
  },
  /** Machines reach no controller for longer than a lease; commands reach them; one cancels. */
  OUTBOUND_BLOCKED_MACHINES {
    @Override
    boolean inject(Simulation sim) {
      for (SimulatedWorker worker : sim.workers.values()) {
        worker.outboundBlocked = true;
      }
      sim.schedule(3_000, () -> sim.users.cancel("wk-000004"));
      sim.runUntil(sim.nowMs + Simulation.LEASE_MS + 8_000);
      for (SimulatedWorker simWorker : sim.workers.values()) {
        simWorker.outboundBlocked = false;
      }
      return sim.faultCounts.containsKey("mute");
    }
  },
  /** Commands and their answers are delayed by machines that pause and resume. */
  DELAYED_COMMANDS {
    @Override
    boolean inject(Simulation sim) {
      sim.taskRunMs = 1_500;
      sim.runUntil(sim.nowMs + 30_000);
      for (int i = 10; i < 40; i++) {
        String id = "wk-0000" + i;
        sim.schedule(i * 1_000L, () -> sim.users.submit(batchJob(id).tasks(4).build()));
      }
      for (int i = 0; i < 20; i++) {
        sim.schedule(
            i * 2_500L,
            () -> {
              for (SimulatedWorker worker : sim.workers.values()) {
                worker.pause(sim.random.nextInt(4_000));
              }
            });
      }
      sim.schedule(14_000, () -> sim.users.cancelRunningJobs(2, 8_000));
      sim.runUntil(sim.nowMs + 55_000);
      return sim.faultCounts.containsKey("hang, held orders executed");
    }
  },
  /** Controllers hand over and back, all end, and one returns, also within a second. */
  FAILOVER_AND_FAILBACK {
    @Override
    boolean inject(Simulation sim) {
      for (int i = 0; i < 6; i++) {
        sim.controllers.get(Simulation.NODES.get(i % 3)).crash(i % 2 == 0 ? 150 : 6_000);
        sim.runUntil(sim.nowMs + 5_000);
      }
      sim.runUntil(sim.nowMs + 8_000);
      for (SimulatedController node : sim.controllers.values()) {
        node.crash(node.name.equals("n1") ? 300 : 20_000);
      }
      sim.runUntil(sim.nowMs + 2_000);
      boolean one =
          sim.controllers.get("n1").running
              && !sim.controllers.get("n0").running
              && !sim.controllers.get("n2").running;
      sim.runUntil(sim.nowMs + 25_000);
      return one;
    }
  },
  /** Transactions without an answer are carried out late, after newer ones, also of the dead. */
  DELAYED_TRANSACTIONS {
    @Override
    boolean inject(Simulation sim) {
      sim.delayedTransactionRate = 0.3;
      for (int i = 10; i < 20; i++) {
        sim.users.submit(batchJob("wk-0000" + i).tasks(4).team("tight").build());
      }
      for (int i = 0; i < 4; i++) {
        sim.runUntil(sim.nowMs + 8_000);
        sim.controllers.get(Simulation.NODES.get(i % 3)).crash(200);
      }
      sim.runUntil(sim.nowMs + 10_000);
      sim.delayedTransactionRate = 0;
      sim.runUntil(sim.nowMs + 13_000);
      return sim.faultCounts.containsKey("lateWrites, applied");
    }
  },
  /** Jobs of two or three tasks that end far apart, with another leader in between. */
  COMPLETIONS_FAR_APART {
    @Override
    boolean inject(Simulation sim) {
      for (int j = 10; j < 16; j++) {
        String id = "wk-0000" + j;
        for (int t = 0; t < 3; t++) {
          sim.taskRunMsByTask.put(id + "/" + t, 2_000L + t * 30_000L);
        }
        sim.users.submit(batchJob(id).tasks(2 + j % 2).build());
      }
      sim.runUntil(sim.nowMs + 24_000);
      boolean between = false;
      for (int j = 10; j < 16; j++) {
        JobEntry job = sim.jobEntry("wk-0000" + j);
        between |= job.completedTaskCount() > 0 && job.completedTaskCount() < job.spec().tasks();
      }
      for (SimulatedController node : sim.controllers.values()) {
        node.crash(node.name.equals("n2") ? 200 : 5_000);
      }
      sim.runUntil(sim.nowMs + 22_000);
      sim.crashBusiestLeaders();
      sim.runUntil(sim.nowMs + 30_000);
      return between;
    }
  },
  /** Jobs of one zone, pinned and not, lose machines. */
  ONE_ZONE_LOSES_MACHINES {
    @Override
    boolean inject(Simulation sim) {
      sim.users.submit(batchJob("wk-000010").tasks(6).zone("a").build());
      sim.users.submit(batchJob("wk-000011").tasks(6).singleZone(true).build());
      sim.users.submit(batchJob("wk-000012").tasks(5).spread(true).build());
      sim.runUntil(sim.nowMs + 6_000);
      int lost = 0;
      for (SimulatedWorker worker : List.copyOf(sim.workers.values())) {
        if (!worker.zone.equals("a") || worker.tasks.isEmpty()) {
          continue;
        }
        lost += worker.tasks.size();
        sim.killMachine(worker.id);
      }
      sim.runUntil(sim.nowMs + 20_000);
      return lost > 0;
    }
  },
  /** Leaders change ten times in two minutes, also inside an outage. */
  TEN_LEADER_CHANGES {
    @Override
    boolean inject(Simulation sim) {
      for (int i = 0; i < 10; i++) {
        sim.schedule(i * 11_000L, sim::crashBusiestLeaders);
      }
      sim.schedule(38_000, () -> sim.stateService.outage = true);
      sim.schedule(70_000, sim.stateService::endOutage);
      sim.schedule(60_000, () -> sim.users.cancel("wk-000003"));
      sim.runUntil(sim.nowMs + 120_000);
      return sim.faultCounts.getOrDefault("changeLeaders", 0) > 6
          && sim.faultCounts.containsKey("changeLeaders, in an outage");
    }
  },
  /** A zone with workers and a controller is cut off for longer than a lease; one cancels. */
  ZONE_PARTITIONED {
    @Override
    boolean inject(Simulation sim) {
      sim.partitionZone("b");
      sim.runUntil(sim.nowMs + 300);
      String job = null;
      for (SimulatedWorker worker : sim.workers.values()) {
        if (worker.zone.equals("b") && runningJob(worker) != null) {
          job = runningJob(worker);
        }
      }
      boolean inside = job != null && sim.controllers.get("n1").running;
      assertEquals("cancelled", cancelAt(sim, sim.controllers.get("n0"), job).state());
      sim.runUntil(sim.nowMs + Simulation.CANCEL_MS + 5_000);
      assertEquals(0, sum(runningTasksByLeader(sim, job)));
      sim.healPartitions();
      return inside;
    }
  },
  /**
   * A leader crashes; machines with long tasks are unreachable for commands, or for all messages.
   */
  LEADER_CRASH_MACHINES_UNREACHABLE {
    @Override
    boolean inject(Simulation sim) {
      SimulatedController node =
          sim.controllers.get(sim.machineEntry(busiestWorker(sim).id).node());
      int i = 0;
      for (SimulatedWorker worker : sim.workers.values()) {
        if (!worker.controllerName.equals(node.name)) {
          continue;
        }
        if (i++ % 2 == 0) {
          worker.partitioned = true;
        } else {
          worker.inboundBlocked = true;
        }
        sim.schedule(22_000, worker::unblockInbound);
      }
      node.crash(30_000);
      sim.runUntil(sim.nowMs + 40_000);
      return i > 0;
    }
  };

  abstract boolean inject(Simulation sim);
}
