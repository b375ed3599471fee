package mallowstall.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import mallowstall.core.kernel.PutOperation;
import mallowstall.core.kernel.Transaction;
import mallowstall.core.kv.StateKeys;
import mallowstall.core.model.ApiResponse;
import mallowstall.core.model.Heartbeat;
import mallowstall.core.model.HeartbeatResponse;
import mallowstall.core.model.JobEntry;
import mallowstall.core.model.JobOutcome;
import mallowstall.core.model.JobSpec;
import mallowstall.core.model.MachineEntry;
import mallowstall.core.model.Priority;
import mallowstall.core.model.SessionEntry;
import mallowstall.core.model.TaskState;
import mallowstall.core.model.TeamUsageEntry;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Two troubles that meet, each brought about on simulated time. Every test first shows that its
 * meeting took place. The arguments stand in docs/design.md, "When troubles meet".
 */
class CombinedFaultsTest {
  private static final String CANCELLED_JOB = "wk-000001";
  private static final String OTHER_JOB = "wk-000002";

  private static JobSpec batchSpec(Simulation sim, String id, int tasks) {
    return sim.batchSpec(id, tasks, 2, Priority.NORMAL, "free", false, false, true, null);
  }

  /** Tasks of the job that run, by the controller that their machines report to. */
  private static Map<String, Integer> runningTasksByLeader(Simulation sim, String job) {
    Map<String, Integer> out = new TreeMap<>();
    for (SimulatedWorker worker : sim.workers.values()) {
      for (SimulatedWorker.SimulatedTask task : worker.tasks.values()) {
        if (task.job.equals(job) && task.state != TaskState.EXITED) {
          out.merge(worker.controllerName, 1, Integer::sum);
        }
      }
    }
    return out;
  }

  private static int sum(Map<String, Integer> counts) {
    return counts.values().stream().mapToInt(Integer::intValue).sum();
  }

  /** The user's answer; the confirmation counts from then on. */
  private static ApiResponse cancelAt(Simulation sim, SimulatedController node, String id) {
    sim.checker.onCancelRequested(id);
    List<ApiResponse> responses = new ArrayList<>();
    node.enqueueEvent(
        () ->
            node.core.cancel(
                id,
                answer -> {
                  responses.add(answer);
                  sim.checker.onAnswer(sim.nowMs, id, answer.status(), answer.state());
                }));
    long until = sim.nowMs + 3_000;
    while (responses.isEmpty() && sim.nowMs < until) {
      sim.runUntil(sim.nowMs + 10);
    }
    return responses.isEmpty() ? null : responses.get(0);
  }

  /** What happens besides, in the meeting before all others. */
  enum AdditionalFault {
    NOTHING,
    /** The confirmer ends as soon as it has told, and is back at once. */
    CONFIRMER_BACK_AT_ONCE,
    /** The confirmer ends as soon as it has told, for good. */
    CONFIRMER_GONE,
    /** All that it says to the leader is held back for long, and then delivered. */
    WORDS_HELD_BACK,
    /** All that it says arrives 30 s late: what was said before the cancellation passes for new. */
    WORDS_LATE,
    /** Its words are held back and it ends. */
    WORDS_HELD_BACK_AND_GONE,
    /** The recorded cancellation is confirmed only when asked for again, in the outage. */
    CONFIRMED_FROM_MEMORY,
    /** Half of the machines hang on their commands: nothing reaches them for 8 s. */
    MACHINES_UNREACHABLE
  }

  /**
   * The state service refuses the leader alone, another controller confirms a cancellation, then
   * the service is down for all for longer than a cancellation may take, while workers go on
   * reporting to the leader. The tasks are gone in time all the same; others' tasks run on unless
   * the confirmer can't be heard.
   */
  @ParameterizedTest
  @EnumSource(AdditionalFault.class)
  void cancellationHoldsWhenLeaderCannotReadIt(AdditionalFault besides) {
    for (long gap : new long[] {200, 900, 2_000}) {
      for (long seed = 1; seed <= 3; seed++) {
        Simulation sim = new Simulation(100 + seed);
        sim.taskRunMs = 400_000;
        sim.runUntil(8_000);
        sim.submit(batchSpec(sim, CANCELLED_JOB, 8));
        sim.submit(batchSpec(sim, OTHER_JOB, 6));
        sim.runUntil(16_000);
        assertEquals(8, sum(runningTasksByLeader(sim, CANCELLED_JOB)));
        SimulatedController leader =
            sim.controllers.get(leaderOfMost(runningTasksByLeader(sim, CANCELLED_JOB)));
        SimulatedController confirmer = sim.controllers.get(leader.name.equals("n1") ? "n2" : "n1");
        leader.stateServiceUnreachable = true;
        sim.runUntil(sim.nowMs + 120);
        if (besides.name().startsWith("WORDS")) {
          sim.partitionDelayMs = besides == AdditionalFault.WORDS_LATE ? 30_000 : 60_000;
          confirmer.partitionedPeers.put(leader.name, true);
        }
        long confirmed = confirmCancellation(sim, confirmer, besides, gap);
        checkOutage(sim, leader, besides, confirmed, besides + ", gap " + gap + ", seed " + seed);
        sim.stateService.endOutage();
        leader.stateServiceUnreachable = false;
        confirmer.partitionedPeers.clear();
        sim.runUntil(sim.nowMs + 90_000);
        assertEquals(List.of(), sim.checker.violations);
        assertEquals(0, sum(runningTasksByLeader(sim, CANCELLED_JOB)));
        assertTrue(sum(runningTasksByLeader(sim, OTHER_JOB)) > 0, "the other job is run again");
        assertEquals(JobOutcome.CANCELLED, sim.jobEntry(CANCELLED_JOB).outcome());
      }
    }
  }

  /** Leading: who owns most of the machines that run the job. */
  private static String leaderOfMost(Map<String, Integer> machines) {
    String most = "n0";
    for (String node : machines.keySet()) {
      if (machines.get(node) > machines.getOrDefault(most, 0)) {
        most = node;
      }
    }
    return most;
  }

  /** Has the cancellation confirmed and then the outage begin; returns when it was confirmed. */
  private static long confirmCancellation(
      Simulation sim, SimulatedController confirmer, AdditionalFault besides, long gap) {
    if (besides == AdditionalFault.CONFIRMED_FROM_MEMORY) {
      sim.checker.onCancelRequested(CANCELLED_JOB);
      confirmer.enqueueEvent(() -> confirmer.core.cancel(CANCELLED_JOB, answer -> {}));
      sim.runUntil(sim.nowMs + gap);
      sim.stateService.outage = true;
      sim.runUntil(sim.nowMs + 3_000);
      assertEquals("cancelled", cancelAt(sim, confirmer, CANCELLED_JOB).state());
      return sim.nowMs;
    }
    assertEquals("cancelled", cancelAt(sim, confirmer, CANCELLED_JOB).state());
    long confirmed = sim.nowMs;
    if (besides == AdditionalFault.CONFIRMER_BACK_AT_ONCE) {
      confirmer.crash(150);
    }
    if (besides.name().endsWith("GONE")) {
      confirmer.crash(500_000);
    }
    if (besides == AdditionalFault.MACHINES_UNREACHABLE) {
      partitionEverySecondMachine(sim, 8_000);
    }
    sim.runUntil(sim.nowMs + gap);
    sim.stateService.outage = true;
    return confirmed;
  }

  private static void partitionEverySecondMachine(Simulation sim, long ms) {
    int i = 0;
    for (SimulatedWorker worker : sim.workers.values()) {
      if (i++ % 2 == 0) {
        worker.partitioned = true;
        sim.schedule(ms, () -> worker.partitioned = false);
      }
    }
  }

  private static void checkOutage(
      Simulation sim,
      SimulatedController leader,
      AdditionalFault besides,
      long confirmed,
      String what) {
    sim.runUntil(confirmed + 7_000);
    // the meeting took place: the leader can't read of it, and workers report to the leader
    assertEquals(JobOutcome.NONE, leader.core.store().job(CANCELLED_JOB).outcome());
    assertTrue(
        sim.workers.values().stream()
            .anyMatch(worker -> worker.controllerName.equals(leader.name)));
    sim.runUntil(confirmed + Simulation.CANCEL_MS - 100);
    assertEquals(0, sum(runningTasksByLeader(sim, CANCELLED_JOB)), what);
    boolean confirmerReachable =
        besides == AdditionalFault.NOTHING || besides == AdditionalFault.CONFIRMED_FROM_MEMORY;
    if (confirmerReachable) {
      assertEquals(6, sum(runningTasksByLeader(sim, OTHER_JOB)), "unrelated tasks run on");
    }
    sim.runUntil(confirmed + Simulation.CANCEL_MS + 15_000);
    if (confirmerReachable) {
      assertEquals(6, sum(runningTasksByLeader(sim, OTHER_JOB)), "unrelated tasks run on");
    }
  }

  /**
   * A controller's former process asked for its session, without an answer; it is carried out after
   * the new process has its own, and ends with the former one's lease. The new one used to go on
   * renewing a lease that held nothing, while everybody took it for dead.
   */
  @Test
  void delayedSessionWriteReplacesNoNewerSession() {
    Simulation sim = new Simulation(120);
    sim.runUntil(8_000);
    SimulatedController node = sim.controllers.get("n1");
    long former = node.core.incarnation();
    long lease = sim.stateService.entries.get(StateKeys.session("n1")).leaseId();
    node.crash(150);
    while (node.core.incarnation() == 0 || node.core.store().sessionRemainingMs() <= 0) {
      sim.runUntil(sim.nowMs + 10);
    }
    assertTrue(sim.stateService.leases.containsKey(lease), "the former lease hasn't ended yet");
    // as a former version would have asked for it, compared with nothing
    PutOperation late =
        new PutOperation(StateKeys.session("n1"), new SessionEntry("n1", former), lease);
    sim.stateService.transact(new Transaction(List.of(), List.of(late), List.of()));
    long until = sim.nowMs + 12_000;
    boolean lost = false;
    while (sim.nowMs < until) {
      sim.runUntil(sim.nowMs + 50);
      lost |= !sim.stateService.entries.containsKey(StateKeys.session("n1"));
      SimulatedStateService.StoredValue value =
          sim.stateService.entries.get(StateKeys.session("n1"));
      lost |= value != null && ((SessionEntry) value.value()).incarnation() == former;
    }
    assertTrue(lost, "it was replaced");
    SimulatedStateService.StoredValue now = sim.stateService.entries.get(StateKeys.session("n1"));
    assertEquals(node.core.incarnation(), ((SessionEntry) now.value()).incarnation());
    assertTrue(sim.stateService.leases.containsKey(now.leaseId()));
    sim.submit(batchSpec(sim, CANCELLED_JOB, 12));
    sim.runUntil(sim.nowMs + 60_000);
    assertEquals(List.of(), sim.checker.violations);
    assertEquals("done", sim.checker.lastState(CANCELLED_JOB));
  }

  /** What this version asks for is compared with what was read, so the late one fails. */
  @Test
  void sessionWriteIsConditionalOnReadVersion() {
    Simulation sim = new Simulation(121);
    sim.runUntil(8_000);
    List<Transaction> asked = sim.stateService.receivedTransactions;
    assertTrue(
        asked.stream()
            .filter(
                transaction ->
                    transaction.puts().stream()
                        .anyMatch(put -> put.value() instanceof SessionEntry))
            .allMatch(
                txn ->
                    txn.conditions().stream()
                        .anyMatch(
                            condition -> condition.key().startsWith(StateKeys.SESSION_PREFIX))));
    assertTrue(
        asked.stream()
            .anyMatch(t -> t.puts().stream().anyMatch(p -> p.value() instanceof SessionEntry)));
  }

  /**
   * A submission whose answer comes after the controller stood still must not call pending what
   * others have called cancelled meanwhile; a repeated submission is never told that it is wrong.
   */
  @Test
  void delayedSubmitResponseReportsCurrentState() {
    Simulation sim = new Simulation(122);
    sim.runUntil(8_000);
    SimulatedController slow = sim.controllers.get("n0");
    slow.stateDelayMs = 3_500;
    List<ApiResponse> responses = new ArrayList<>();
    JobSpec spec = batchSpec(sim, CANCELLED_JOB, 4);
    sim.checker.onSubmitted(spec);
    slow.enqueueEvent(() -> slow.core.submit(spec, responses::add));
    sim.runUntil(sim.nowMs + 400);
    assertEquals(List.of(), responses);
    assertEquals("cancelled", cancelAt(sim, sim.controllers.get("n1"), CANCELLED_JOB).state());
    sim.runUntil(sim.nowMs + 3_300);
    slow.stateDelayMs = 0;
    sim.runUntil(sim.nowMs + 5_000);
    assertEquals(1, responses.size());
    ApiResponse answer = responses.get(0);
    assertEquals(503, answer.status(), answer.toString());
    slow.enqueueEvent(() -> slow.core.submit(spec, responses::add));
    sim.runUntil(sim.nowMs + 1_000);
    assertEquals("cancelled", responses.get(1).state());
    assertEquals(200, responses.get(1).status());
  }

  /** Wrong by itself, but accepted all the same, as by another version: its state is told. */
  @Test
  void resubmittingAcceptedJobIsNeverRejected() {
    Simulation sim = new Simulation(123);
    sim.taskRunMs = 100_000;
    sim.runUntil(8_000);
    sim.submit(batchSpec(sim, CANCELLED_JOB, 4));
    sim.runUntil(9_000);
    for (SimulatedController node : sim.controllers.values()) {
      for (String id : List.of(CANCELLED_JOB, "wk-000777")) {
        List<ApiResponse> responses = new ArrayList<>();
        JobSpec never = sim.batchSpec(id, 1, 99, Priority.NORMAL, "free", false, false, true, null);
        node.enqueueEvent(() -> node.core.submit(never, responses::add));
        sim.runUntil(sim.nowMs + 1_000);
        node.enqueueEvent(
            () -> node.core.rejectSubmission(id, "oficio must be batch", responses::add));
        sim.runUntil(sim.nowMs + 1_000);
        assertEquals(id.equals(CANCELLED_JOB) ? 200 : 422, responses.get(0).status());
        assertEquals(id.equals(CANCELLED_JOB) ? 200 : 400, responses.get(1).status());
      }
    }
    // at once also while the state service can't be asked
    sim.stateService.outage = true;
    sim.runUntil(sim.nowMs + 5_000);
    List<ApiResponse> responses = new ArrayList<>();
    SimulatedController controller = sim.controllers.get("n0");
    controller.enqueueEvent(
        () ->
            controller.core.rejectSubmission("wk-000778", "oficio must be batch", responses::add));
    assertEquals(400, responses.get(0).status());
    controller.enqueueEvent(
        () ->
            controller.core.rejectSubmission(
                CANCELLED_JOB, "oficio must be batch", responses::add));
    sim.runUntil(sim.nowMs + 1_000);
    assertEquals(503, responses.get(1).status());
  }

  /**
   * The state service answers slowly while a user asks at one controller and cancels at another:
   * the question, read before the cancellation, is answered after it was confirmed.
   */
  @Test
  void queryOvertakenByCancellationReportsNoOlderState() {
    for (long lag : new long[] {300, 600, 900}) {
      Simulation sim = new Simulation(124);
      sim.taskRunMs = 100_000;
      sim.runUntil(8_000);
      sim.submit(batchSpec(sim, CANCELLED_JOB, 4));
      sim.runUntil(12_000);
      SimulatedController slow = sim.controllers.get("n0");
      slow.stateDelayMs = lag;
      sim.checker.onCancelRequested(CANCELLED_JOB);
      List<ApiResponse> asked = new ArrayList<>();
      List<ApiResponse> cancelled = new ArrayList<>();
      slow.enqueueEvent(() -> slow.core.query(CANCELLED_JOB, asked::add));
      sim.runUntil(sim.nowMs + 30);
      SimulatedController fast = sim.controllers.get("n1");
      fast.enqueueEvent(() -> fast.core.cancel(CANCELLED_JOB, cancelled::add));
      sim.runUntil(sim.nowMs + 150);
      assertEquals("cancelled", cancelled.get(0).state());
      assertEquals(List.of(), asked, "not answered yet");
      sim.runUntil(sim.nowMs + 1_500);
      assertTrue(
          asked.get(0).status() == 503 || asked.get(0).state().equals("cancelled"),
          lag + ": " + asked.get(0));
    }
  }

  /**
   * A job is cancelled while its tasks wait for their image: hardly one of them begins after the
   * confirmation. Stopped by the next report's answer only, many did.
   */
  @Test
  void fetchingTasksDoNotStartAfterCancellation() {
    int waiting = 0;
    int begun = 0;
    for (long seed = 0; seed < 12; seed++) {
      Simulation sim = new Simulation(140 + seed);
      sim.runUntil(8_000);
      sim.submit(batchSpec(sim, CANCELLED_JOB, 12));
      long until = sim.nowMs + 3_000;
      while (sim.nowMs < until && sum(runningTasksByLeader(sim, CANCELLED_JOB)) < 8) {
        sim.runUntil(sim.nowMs + 20);
      }
      sim.runUntil(sim.nowMs + 250);
      assertEquals(
          "cancelled", cancelAt(sim, sim.controllers.get("n" + seed % 3), CANCELLED_JOB).state());
      for (SimulatedWorker worker : sim.workers.values()) {
        for (SimulatedWorker.SimulatedTask task : worker.tasks.values()) {
          if (task.state == TaskState.FETCHING) {
            waiting++;
          }
        }
      }
      sim.runUntil(sim.nowMs + 10_000);
      begun += sim.checker.startsAfterCancelCount;
      assertEquals(List.of(), sim.checker.violations);
    }
    assertTrue(waiting > 40, "waited: " + waiting);
    assertTrue(begun * 10 < waiting, "of " + waiting + " that waited, begun: " + begun);
  }

  /** The meetings that need no other evidence than that they struck; each says whether it did. */
  enum FaultCombination {
    /** Cancellations, questions and repetitions at the moment of a job's last end, everywhere. */
    COMPLETION_AND_CANCELLATION {
      @Override
      boolean inject(Simulation sim) {
        sim.cancelAtEndRate = 0.5;
        for (int i = 10; i < 40; i++) {
          sim.submit(batchSpec(sim, "wk-0000" + i, 1 + i % 3));
        }
        for (int i = 0; i < 400; i++) {
          sim.schedule(
              i * 100L,
              () -> sim.scheduleInvalidRequests(1)); // repeats submissions, cancels what is done
        }
        sim.runUntil(sim.nowMs + 60_000);
        sim.cancelAtEndRate = 0;
        return sim.faultCounts.containsKey("cancelAtEnd")
            && sim.faultCounts.containsKey("cancelAtEnd, one task short")
            && sim.faultCounts.containsKey("oddRequests, over again");
      }
    },
    /** A report is held back until another owns the machine, then arrives there and elsewhere. */
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
        assertTrue(refused, "a report that old renews nothing");
        return !since.node().equals(before.node());
      }
    },
    /** A leader without state service and peers; its jobs are cancelled through another. */
    LEADER_ISOLATED_AND_CANCELLATION {
      @Override
      boolean inject(Simulation sim) {
        SimulatedWorker worker = busiestWorker(sim);
        SimulatedController node = sim.controllers.get(sim.machineEntry(worker.id).node());
        String job = runningTasksByLeader(worker);
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
        sim.checker.reorderedAnswersViolate = false;
        sim.maxStateDelayMs = 2_500;
        sim.schedule(2_000, () -> sim.cancelRunningJobs(3, 0));
        sim.schedule(9_000, () -> sim.scheduleInvalidRequests(20));
        sim.runUntil(sim.nowMs + 20_000);
        sim.maxStateDelayMs = 0;
        sim.rejectOneThenOutage(sim.controllers.get("n0"), 3_000, Simulation.CANCEL_MS + 5_000);
        sim.schedule(2_500, () -> sim.cancelRunningJobs(2, 0));
        sim.runUntil(sim.nowMs + Simulation.CANCEL_MS + 10_000);
        return sim.faultCounts.containsKey("slowState") && sim.faultCounts.containsKey("cancelNow");
      }
    },
    /** A team at its limit, a change of leader, machines that can't be asked, a cancellation. */
    TEAM_AT_QUOTA {
      @Override
      boolean inject(Simulation sim) {
        for (int i = 1; i <= 4; i++) {
          sim.cancel("wk-00000" + i); // makes room for it
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
        sim.schedule(1_500, () -> sim.cancel("wk-000005"));
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
          sim.submit(
              sim.batchSpec("wk-0000" + i, 4, 2, priority, "free", false, false, true, null));
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
        sim.schedule(3_000, () -> sim.cancel("wk-000004"));
        sim.runUntil(sim.nowMs + Simulation.LEASE_MS + 8_000);
        for (SimulatedWorker simWorker : sim.workers.values()) {
          simWorker.outboundBlocked = false;
        }
        return sim.faultCounts.containsKey("mute");
      }
    },
    /** Commands and their answers are held up by machines that hang and go on. */
    DELAYED_COMMANDS {
      @Override
      boolean inject(Simulation sim) {
        sim.taskRunMs = 1_500;
        sim.runUntil(sim.nowMs + 30_000);
        for (int i = 10; i < 40; i++) {
          String id = "wk-0000" + i;
          sim.schedule(i * 1_000L, () -> sim.submit(batchSpec(sim, id, 4)));
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
        sim.schedule(14_000, () -> sim.cancelRunningJobs(2, 8_000));
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
          sim.submit(
              sim.batchSpec(
                  "wk-0000" + i, 4, 2, Priority.NORMAL, "tight", false, false, true, null));
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
          sim.submit(batchSpec(sim, id, 2 + j % 2));
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
        sim.submit(
            sim.batchSpec("wk-000010", 6, 2, Priority.NORMAL, "free", false, false, true, "a"));
        sim.submit(
            sim.batchSpec("wk-000011", 6, 2, Priority.NORMAL, "free", true, false, true, null));
        sim.submit(
            sim.batchSpec("wk-000012", 5, 2, Priority.NORMAL, "free", false, true, true, null));
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
        sim.schedule(60_000, () -> sim.cancel("wk-000003"));
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
          if (worker.zone.equals("b") && runningTasksByLeader(worker) != null) {
            job = runningTasksByLeader(worker);
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
    /** A leader ends; machines with long tasks can't be reached, or don't hear the next one. */
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

  /** A job of which a task runs there; null: none. */
  private static String runningTasksByLeader(SimulatedWorker worker) {
    for (SimulatedWorker.SimulatedTask task : worker.tasks.values()) {
      if (task.state == TaskState.RUNNING) {
        return task.job;
      }
    }
    return null;
  }

  private static SimulatedWorker busiestWorker(Simulation sim) {
    SimulatedWorker most = null;
    for (SimulatedWorker worker : sim.workers.values()) {
      if (most == null || worker.tasks.size() > most.tasks.size()) {
        most = worker;
      }
    }
    return most;
  }

  /** Six jobs run, two of them of a team at its limit, when the troubles meet. */
  @ParameterizedTest
  @EnumSource(FaultCombination.class)
  void invariantsHold(FaultCombination meeting) {
    for (long seed = 1; seed <= 3; seed++) {
      Simulation sim = new Simulation(200 + seed);
      sim.taskRunMs = 25_000;
      sim.runUntil(8_000);
      for (int i = 1; i <= 6; i++) {
        sim.submit(
            sim.batchSpec(
                "wk-00000" + i,
                i > 4 ? 9 : 4,
                2,
                Priority.NORMAL,
                i > 4 ? "tight" : "free",
                false,
                false,
                true,
                null));
      }
      sim.runUntil(18_000);
      assertTrue(sim.checker.startCount > 8, "work is under way");
      assertTrue(meeting.inject(sim), meeting + " took place, seed " + seed);
      sim.taskRunMs = 3_000;
      sim.checker.faultsEndedMs = sim.nowMs;
      sim.runUntil(sim.nowMs + 260_000);
      assertEquals(List.of(), sim.checker.violations, meeting + ", seed " + seed);
      for (String id : sim.jobs) {
        String last = sim.checker.lastState(id);
        assertTrue("done".equals(last) || "cancelled".equals(last), id + " is " + last);
      }
    }
  }
}
