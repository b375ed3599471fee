package mallowstall.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import mallowstall.core.Model.Final;
import mallowstall.core.Model.JobRec;
import mallowstall.core.Model.JobSpec;
import mallowstall.core.Model.MachineRec;
import mallowstall.core.Model.Priority;
import mallowstall.core.Model.Report;
import mallowstall.core.Model.ReportAnswer;
import mallowstall.core.Model.SessionRec;
import mallowstall.core.Model.TaskState;
import mallowstall.core.Model.TeamRec;
import mallowstall.core.Model.UserAnswer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Two troubles that meet, each brought about on simulated time. Every test first shows that its
 * meeting took place. The arguments stand in docs/design.md, "When troubles meet".
 */
class CombinedFaultsTest {
  private static final String VICTIM = "wk-000001";
  private static final String OTHER = "wk-000002";

  private static JobSpec plain(Simulation sim, String id, int tasks) {
    return sim.job(id, tasks, 2, Priority.NORMAL, "free", false, false, true, null);
  }

  /** Tasks of the job that run, by the controller that their machines report to. */
  private static Map<String, Integer> running(Simulation sim, String job) {
    Map<String, Integer> out = new TreeMap<>();
    for (SimulatedWorker worker : sim.workers.values()) {
      for (SimulatedWorker.T task : worker.tasks.values()) {
        if (task.job.equals(job) && task.state != TaskState.EXITED) {
          out.merge(worker.node, 1, Integer::sum);
        }
      }
    }
    return out;
  }

  private static int count(Map<String, Integer> m) {
    return m.values().stream().mapToInt(Integer::intValue).sum();
  }

  /** The user's answer; the confirmation counts from then on. */
  private static UserAnswer cancelAt(Simulation sim, SimulatedController node, String id) {
    sim.rules.asksToCancel(id);
    List<UserAnswer> got = new ArrayList<>();
    node.event(
        () ->
            node.core.cancel(
                id,
                answer -> {
                  got.add(answer);
                  sim.rules.told(sim.now, id, answer.status(), answer.state());
                }));
    long until = sim.now + 3_000;
    while (got.isEmpty() && sim.now < until) {
      sim.run(sim.now + 10);
    }
    return got.isEmpty() ? null : got.get(0);
  }

  /** What happens besides, in the meeting before all others. */
  enum Besides {
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
    TOLD_FROM_MEMORY,
    /** Half of the machines hang on their commands: nothing reaches them for 8 s. */
    MACHINES_CANNOT_BE_ASKED
  }

  /**
   * The state service refuses the leader alone, another controller confirms a cancellation, then
   * the service is down for all for longer than a cancellation may take, while workers go on
   * reporting to the leader. The tasks are gone in time all the same; others' tasks run on unless
   * the confirmer can't be heard.
   */
  @ParameterizedTest
  @EnumSource(Besides.class)
  void aCancellationThatTheLeaderCannotReadOfHolds(Besides besides) {
    for (long gap : new long[] {200, 900, 2_000}) {
      for (long seed = 1; seed <= 3; seed++) {
        Simulation sim = new Simulation(100 + seed);
        sim.runMs = 400_000;
        sim.run(8_000);
        sim.submit(plain(sim, VICTIM, 8));
        sim.submit(plain(sim, OTHER, 6));
        sim.run(16_000);
        assertEquals(8, count(running(sim, VICTIM)));
        SimulatedController leader = sim.nodes.get(ownerOfMost(running(sim, VICTIM)));
        SimulatedController confirmer = sim.nodes.get(leader.name.equals("n1") ? "n2" : "n1");
        leader.noState = true;
        sim.run(sim.now + 120);
        if (besides.name().startsWith("WORDS")) {
          sim.heldMs = besides == Besides.WORDS_LATE ? 30_000 : 60_000;
          confirmer.cut.put(leader.name, true);
        }
        long confirmed = confirm(sim, confirmer, besides, gap);
        checkOutage(sim, leader, besides, confirmed, besides + ", gap " + gap + ", seed " + seed);
        sim.state.recover();
        leader.noState = false;
        confirmer.cut.clear();
        sim.run(sim.now + 90_000);
        assertEquals(List.of(), sim.rules.broken);
        assertEquals(0, count(running(sim, VICTIM)));
        assertTrue(count(running(sim, OTHER)) > 0, "the other job is run again");
        assertEquals(Final.CANCELLED, sim.entry(VICTIM).fin());
      }
    }
  }

  /** Leading: who owns most of the machines that run the job. */
  private static String ownerOfMost(Map<String, Integer> machines) {
    String most = "n0";
    for (String node : machines.keySet()) {
      if (machines.get(node) > machines.getOrDefault(most, 0)) {
        most = node;
      }
    }
    return most;
  }

  /** Has the cancellation confirmed and then the outage begin; returns when it was confirmed. */
  private static long confirm(
      Simulation sim, SimulatedController confirmer, Besides besides, long gap) {
    if (besides == Besides.TOLD_FROM_MEMORY) {
      sim.rules.asksToCancel(VICTIM);
      confirmer.event(() -> confirmer.core.cancel(VICTIM, answer -> {}));
      sim.run(sim.now + gap);
      sim.state.outage = true;
      sim.run(sim.now + 3_000);
      assertEquals("cancelled", cancelAt(sim, confirmer, VICTIM).state());
      return sim.now;
    }
    assertEquals("cancelled", cancelAt(sim, confirmer, VICTIM).state());
    long confirmed = sim.now;
    if (besides == Besides.CONFIRMER_BACK_AT_ONCE) {
      confirmer.crash(150);
    }
    if (besides.name().endsWith("GONE")) {
      confirmer.crash(500_000);
    }
    if (besides == Besides.MACHINES_CANNOT_BE_ASKED) {
      cutEverySecond(sim, 8_000);
    }
    sim.run(sim.now + gap);
    sim.state.outage = true;
    return confirmed;
  }

  private static void cutEverySecond(Simulation sim, long ms) {
    int i = 0;
    for (SimulatedWorker worker : sim.workers.values()) {
      if (i++ % 2 == 0) {
        worker.cut = true;
        sim.at(ms, () -> worker.cut = false);
      }
    }
  }

  private static void checkOutage(
      Simulation sim, SimulatedController leader, Besides besides, long confirmed, String what) {
    sim.run(confirmed + 7_000);
    // the meeting took place: the leader can't read of it, and workers report to the leader
    assertEquals(Final.NONE, leader.core.store().job(VICTIM).fin());
    assertTrue(sim.workers.values().stream().anyMatch(worker -> worker.node.equals(leader.name)));
    sim.run(confirmed + Simulation.CANCEL - 100);
    assertEquals(0, count(running(sim, VICTIM)), what);
    boolean heard = besides == Besides.NOTHING || besides == Besides.TOLD_FROM_MEMORY;
    if (heard) {
      assertEquals(6, count(running(sim, OTHER)), "unrelated tasks run on");
    }
    sim.run(confirmed + Simulation.CANCEL + 15_000);
    if (heard) {
      assertEquals(6, count(running(sim, OTHER)), "unrelated tasks run on");
    }
  }

  /**
   * A controller's former process asked for its session, without an answer; it is carried out after
   * the new process has its own, and ends with the former one's lease. The new one used to go on
   * renewing a lease that held nothing, while everybody took it for dead.
   */
  @Test
  void aSessionThatIsWrittenLateReplacesNoLaterOne() {
    Simulation sim = new Simulation(120);
    sim.run(8_000);
    SimulatedController node = sim.nodes.get("n1");
    long former = node.core.incarnation();
    long lease = sim.state.keys.get(Store.SESSIONS + "n1").lease();
    node.crash(150);
    while (node.core.incarnation() == 0 || node.core.store().sessionLeft() <= 0) {
      sim.run(sim.now + 10);
    }
    assertTrue(sim.state.leases.containsKey(lease), "the former lease hasn't ended yet");
    // as a former version would have asked for it, compared with nothing
    Effects.Put late = new Effects.Put(Store.SESSIONS + "n1", new SessionRec("n1", former), lease);
    sim.state.transact(new Effects.Txn(List.of(), List.of(late), List.of()));
    long until = sim.now + 12_000;
    boolean lost = false;
    while (sim.now < until) {
      sim.run(sim.now + 50);
      lost |= !sim.state.keys.containsKey(Store.SESSIONS + "n1");
      SimulatedStateService.Val value = sim.state.keys.get(Store.SESSIONS + "n1");
      lost |= value != null && ((SessionRec) value.value()).incarnation() == former;
    }
    assertTrue(lost, "it was replaced");
    SimulatedStateService.Val now = sim.state.keys.get(Store.SESSIONS + "n1");
    assertEquals(node.core.incarnation(), ((SessionRec) now.value()).incarnation());
    assertTrue(sim.state.leases.containsKey(now.lease()));
    sim.submit(plain(sim, VICTIM, 12));
    sim.run(sim.now + 60_000);
    assertEquals(List.of(), sim.rules.broken);
    assertEquals("done", sim.rules.lastTold(VICTIM));
  }

  /** What this version asks for is compared with what was read, so the late one fails. */
  @Test
  void aSessionIsComparedWithWhatWasRead() {
    Simulation sim = new Simulation(121);
    sim.run(8_000);
    List<Effects.Txn> asked = sim.state.asked;
    assertTrue(
        asked.stream()
            .filter(
                transaction ->
                    transaction.puts().stream().anyMatch(put -> put.value() instanceof SessionRec))
            .allMatch(
                txn ->
                    txn.when().stream()
                        .anyMatch(condition -> condition.key().startsWith(Store.SESSIONS))));
    assertTrue(
        asked.stream()
            .anyMatch(t -> t.puts().stream().anyMatch(p -> p.value() instanceof SessionRec)));
  }

  /**
   * A submission whose answer comes after the controller stood still must not call pending what
   * others have called cancelled meanwhile; a repeated submission is never told that it is wrong.
   */
  @Test
  void aSubmissionAnsweredLateSaysWhatTheJobIsNow() {
    Simulation sim = new Simulation(122);
    sim.run(8_000);
    SimulatedController slow = sim.nodes.get("n0");
    slow.lag = 3_500;
    List<UserAnswer> got = new ArrayList<>();
    JobSpec spec = plain(sim, VICTIM, 4);
    sim.rules.submitted(spec);
    slow.event(() -> slow.core.submit(spec, got::add));
    sim.run(sim.now + 400);
    assertEquals(List.of(), got);
    assertEquals("cancelled", cancelAt(sim, sim.nodes.get("n1"), VICTIM).state());
    sim.run(sim.now + 3_300);
    slow.lag = 0;
    sim.run(sim.now + 5_000);
    assertEquals(1, got.size());
    UserAnswer answer = got.get(0);
    assertEquals(503, answer.status(), answer.toString());
    slow.event(() -> slow.core.submit(spec, got::add));
    sim.run(sim.now + 1_000);
    assertEquals("cancelled", got.get(1).state());
    assertEquals(200, got.get(1).status());
  }

  /** Wrong by itself, but accepted all the same, as by another version: its state is told. */
  @Test
  void anAcceptedJobsRepetitionIsNeverWrong() {
    Simulation sim = new Simulation(123);
    sim.runMs = 100_000;
    sim.run(8_000);
    sim.submit(plain(sim, VICTIM, 4));
    sim.run(9_000);
    for (SimulatedController node : sim.nodes.values()) {
      for (String id : List.of(VICTIM, "wk-000777")) {
        List<UserAnswer> got = new ArrayList<>();
        JobSpec never = sim.job(id, 1, 99, Priority.NORMAL, "free", false, false, true, null);
        node.event(() -> node.core.submit(never, got::add));
        sim.run(sim.now + 1_000);
        node.event(() -> node.core.refuse(id, "oficio must be batch", got::add));
        sim.run(sim.now + 1_000);
        assertEquals(id.equals(VICTIM) ? 200 : 422, got.get(0).status());
        assertEquals(id.equals(VICTIM) ? 200 : 400, got.get(1).status());
      }
    }
    // at once also while the state service can't be asked
    sim.state.outage = true;
    sim.run(sim.now + 5_000);
    List<UserAnswer> got = new ArrayList<>();
    SimulatedController controller = sim.nodes.get("n0");
    controller.event(() -> controller.core.refuse("wk-000778", "oficio must be batch", got::add));
    assertEquals(400, got.get(0).status());
    controller.event(() -> controller.core.refuse(VICTIM, "oficio must be batch", got::add));
    sim.run(sim.now + 1_000);
    assertEquals(503, got.get(1).status());
  }

  /**
   * The state service answers slowly while a user asks at one controller and cancels at another:
   * the question, read before the cancellation, is answered after it was confirmed.
   */
  @Test
  void aQuestionOvertakenByACancellationIsNotAnsweredWithLess() {
    for (long lag : new long[] {300, 600, 900}) {
      Simulation sim = new Simulation(124);
      sim.runMs = 100_000;
      sim.run(8_000);
      sim.submit(plain(sim, VICTIM, 4));
      sim.run(12_000);
      SimulatedController slow = sim.nodes.get("n0");
      slow.lag = lag;
      sim.rules.asksToCancel(VICTIM);
      List<UserAnswer> asked = new ArrayList<>();
      List<UserAnswer> cancelled = new ArrayList<>();
      slow.event(() -> slow.core.query(VICTIM, asked::add));
      sim.run(sim.now + 30);
      SimulatedController fast = sim.nodes.get("n1");
      fast.event(() -> fast.core.cancel(VICTIM, cancelled::add));
      sim.run(sim.now + 150);
      assertEquals("cancelled", cancelled.get(0).state());
      assertEquals(List.of(), asked, "not answered yet");
      sim.run(sim.now + 1_500);
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
  void tasksThatWaitForTheirImageDontBeginAfterACancellation() {
    int waiting = 0;
    int begun = 0;
    for (long seed = 0; seed < 12; seed++) {
      Simulation sim = new Simulation(140 + seed);
      sim.run(8_000);
      sim.submit(plain(sim, VICTIM, 12));
      long until = sim.now + 3_000;
      while (sim.now < until && count(running(sim, VICTIM)) < 8) {
        sim.run(sim.now + 20);
      }
      sim.run(sim.now + 250);
      assertEquals("cancelled", cancelAt(sim, sim.nodes.get("n" + seed % 3), VICTIM).state());
      for (SimulatedWorker worker : sim.workers.values()) {
        for (SimulatedWorker.T task : worker.tasks.values()) {
          if (task.state == TaskState.FETCHING) {
            waiting++;
          }
        }
      }
      sim.run(sim.now + 10_000);
      begun += sim.rules.startsAfterCancel;
      assertEquals(List.of(), sim.rules.broken);
    }
    assertTrue(waiting > 40, "waited: " + waiting);
    assertTrue(begun * 10 < waiting, "of " + waiting + " that waited, begun: " + begun);
  }

  /** The meetings that need no other evidence than that they struck; each says whether it did. */
  enum Meeting {
    /** Cancellations, questions and repetitions at the moment of a job's last end, everywhere. */
    END_AND_CANCELLATION {
      @Override
      boolean play(Simulation sim) {
        sim.cancelAtEnd = 0.5;
        for (int i = 10; i < 40; i++) {
          sim.submit(plain(sim, "wk-0000" + i, 1 + i % 3));
        }
        for (int i = 0; i < 400; i++) {
          sim.at(i * 100L, () -> sim.oddRequests(1)); // repeats submissions, cancels what is done
        }
        sim.run(sim.now + 60_000);
        sim.cancelAtEnd = 0;
        return sim.struck.containsKey("cancelAtEnd")
            && sim.struck.containsKey("cancelAtEnd, one task short")
            && sim.struck.containsKey("oddRequests, over again");
      }
    },
    /** A report is held back until another owns the machine, then arrives there and elsewhere. */
    HELD_REPORT_AND_NEW_OWNER {
      @Override
      boolean play(Simulation sim) {
        SimulatedWorker worker = busiest(sim);
        Report held = worker.snapshot();
        MachineRec before = sim.machineRec(worker.id);
        sim.nodes.get(before.node()).crash(9_000);
        long until = sim.now + 15_000;
        while (sim.now < until && sim.machineRec(worker.id).node().equals(before.node())) {
          sim.run(sim.now + 50);
        }
        sim.run(sim.now + 2_000);
        MachineRec since = sim.machineRec(worker.id);
        boolean refused = true;
        for (SimulatedController node : sim.nodes.values()) {
          if (!node.up) {
            continue;
          }
          List<ReportAnswer> got = new ArrayList<>();
          node.event(() -> node.core.report(held, got::add));
          sim.run(sim.now + 200);
          refused &= got.get(0).status() != 200;
        }
        assertTrue(refused, "a report that old renews nothing");
        return !since.node().equals(before.node());
      }
    },
    /** A leader without state service and peers; its jobs are cancelled through another. */
    LEADER_APART_AND_CANCELLATION {
      @Override
      boolean play(Simulation sim) {
        SimulatedWorker worker = busiest(sim);
        SimulatedController node = sim.nodes.get(sim.machineRec(worker.id).node());
        String job = running(worker);
        sim.isolate(node);
        SimulatedController other = sim.nodes.get(node.name.equals("n1") ? "n2" : "n1");
        assertEquals("cancelled", cancelAt(sim, other, job).state());
        boolean apart = count(running(sim, job)) > 0;
        sim.run(sim.now + Simulation.CANCEL);
        assertEquals(0, count(running(sim, job)));
        sim.run(sim.now + 10_000);
        node.noState = false;
        sim.rejoin();
        return apart;
      }
    },
    /** All controllers are away for longer than a lease. */
    ALL_AWAY_FOR_A_LEASE {
      @Override
      boolean play(Simulation sim) {
        for (SimulatedController node : sim.nodes.values()) {
          node.crash(Simulation.LEASE + 5_000);
        }
        sim.run(sim.now + Simulation.LEASE + 4_000);
        return sim.workers.values().stream()
            .allMatch(worker -> worker.session > 1 && worker.tasks.isEmpty());
      }
    },
    /** The state service is slow, then refuses a leader, then all, while users cancel and ask. */
    SLOW_STATE_AND_CANCELLATION {
      @Override
      boolean play(Simulation sim) {
        sim.rules.crossingsBreak = false;
        sim.slowState = 2_500;
        sim.at(2_000, () -> sim.cancelNow(3, 0));
        sim.at(9_000, () -> sim.oddRequests(20));
        sim.run(sim.now + 20_000);
        sim.slowState = 0;
        sim.refusedThenOutage(sim.nodes.get("n0"), 3_000, Simulation.CANCEL + 5_000);
        sim.at(2_500, () -> sim.cancelNow(2, 0));
        sim.run(sim.now + Simulation.CANCEL + 10_000);
        return sim.struck.containsKey("slowState") && sim.struck.containsKey("cancelNow");
      }
    },
    /** A team at its limit, a change of leader, machines that can't be asked, a cancellation. */
    TEAM_AT_ITS_LIMIT {
      @Override
      boolean play(Simulation sim) {
        for (int i = 1; i <= 4; i++) {
          sim.cancel("wk-00000" + i); // makes room for it
        }
        double used = 0;
        for (long until = sim.now + 20_000; used < 22 && sim.now < until; sim.run(sim.now + 200)) {
          used = ((TeamRec) sim.state.keys.get(Store.TEAMS + "tight").value()).cpus();
        }
        SimulatedController node = sim.nodes.get(sim.entry("wk-000005").holder());
        node.crash(700);
        int i = 0;
        for (SimulatedWorker worker : sim.workers.values()) {
          if (i++ % 2 != 0) {
            continue;
          }
          worker.cut = true;
          sim.at(15_000, () -> worker.cut = false);
        }
        sim.at(1_500, () -> sim.cancel("wk-000005"));
        sim.run(sim.now + 30_000);
        return used >= 22;
      }
    },
    /** More work than room, urgent and not, over slow links. */
    TOO_MUCH_WORK_SLOWLY {
      @Override
      boolean play(Simulation sim) {
        for (SimulatedController node : sim.nodes.values()) {
          node.lag = 400;
        }
        sim.rosterChaos = 0.3;
        for (int i = 10; i < 50; i++) {
          Priority priority = Priority.values()[i % 4];
          sim.submit(sim.job("wk-0000" + i, 4, 2, priority, "free", false, false, true, null));
        }
        sim.run(sim.now + 40_000);
        long open =
            sim.state.keys.values().stream()
                .filter(value -> value.value() instanceof JobRec job && job.fin() == Final.NONE)
                .count();
        for (SimulatedController controller : sim.nodes.values()) {
          controller.lag = 0;
        }
        sim.rosterChaos = 0;
        return open > 5;
      }
    },
    /** Machines reach no controller for longer than a lease; commands reach them; one cancels. */
    MUTE_MACHINES {
      @Override
      boolean play(Simulation sim) {
        for (SimulatedWorker worker : sim.workers.values()) {
          worker.mute = true;
        }
        sim.at(3_000, () -> sim.cancel("wk-000004"));
        sim.run(sim.now + Simulation.LEASE + 8_000);
        for (SimulatedWorker simWorker : sim.workers.values()) {
          simWorker.mute = false;
        }
        return sim.struck.containsKey("mute");
      }
    },
    /** Commands and their answers are held up by machines that hang and go on. */
    HELD_COMMANDS {
      @Override
      boolean play(Simulation sim) {
        sim.runMs = 1_500;
        sim.run(sim.now + 30_000);
        for (int i = 10; i < 40; i++) {
          String id = "wk-0000" + i;
          sim.at(i * 1_000L, () -> sim.submit(plain(sim, id, 4)));
        }
        for (int i = 0; i < 20; i++) {
          sim.at(
              i * 2_500L,
              () -> {
                for (SimulatedWorker worker : sim.workers.values()) {
                  worker.hang(sim.rnd.nextInt(4_000));
                }
              });
        }
        sim.at(14_000, () -> sim.cancelNow(2, 8_000));
        sim.run(sim.now + 55_000);
        return sim.struck.containsKey("hang, held orders executed");
      }
    },
    /** Controllers hand over and back, all end, and one returns, also within a second. */
    THERE_AND_BACK {
      @Override
      boolean play(Simulation sim) {
        for (int i = 0; i < 6; i++) {
          sim.nodes.get(Simulation.NODES.get(i % 3)).crash(i % 2 == 0 ? 150 : 6_000);
          sim.run(sim.now + 5_000);
        }
        sim.run(sim.now + 8_000);
        for (SimulatedController node : sim.nodes.values()) {
          node.crash(node.name.equals("n1") ? 300 : 20_000);
        }
        sim.run(sim.now + 2_000);
        boolean one = sim.nodes.get("n1").up && !sim.nodes.get("n0").up && !sim.nodes.get("n2").up;
        sim.run(sim.now + 25_000);
        return one;
      }
    },
    /** Transactions without an answer are carried out late, after newer ones, also of the dead. */
    LATE_TRANSACTIONS {
      @Override
      boolean play(Simulation sim) {
        sim.lateWrites = 0.3;
        for (int i = 10; i < 20; i++) {
          sim.submit(
              sim.job("wk-0000" + i, 4, 2, Priority.NORMAL, "tight", false, false, true, null));
        }
        for (int i = 0; i < 4; i++) {
          sim.run(sim.now + 8_000);
          sim.nodes.get(Simulation.NODES.get(i % 3)).crash(200);
        }
        sim.run(sim.now + 10_000);
        sim.lateWrites = 0;
        sim.run(sim.now + 13_000);
        return sim.struck.containsKey("lateWrites, applied");
      }
    },
    /** Jobs of two or three tasks that end far apart, with another leader in between. */
    ENDS_FAR_APART {
      @Override
      boolean play(Simulation sim) {
        for (int j = 10; j < 16; j++) {
          String id = "wk-0000" + j;
          for (int t = 0; t < 3; t++) {
            sim.runOf.put(id + "/" + t, 2_000L + t * 30_000L);
          }
          sim.submit(plain(sim, id, 2 + j % 2));
        }
        sim.run(sim.now + 24_000);
        boolean between = false;
        for (int j = 10; j < 16; j++) {
          JobRec job = sim.entry("wk-0000" + j);
          between |= job.doneCount() > 0 && job.doneCount() < job.spec().tasks();
        }
        for (SimulatedController node : sim.nodes.values()) {
          node.crash(node.name.equals("n2") ? 200 : 5_000);
        }
        sim.run(sim.now + 22_000);
        sim.changeLeaders();
        sim.run(sim.now + 30_000);
        return between;
      }
    },
    /** Jobs of one zone, pinned and not, lose machines. */
    ONE_ZONE_LOSES_MACHINES {
      @Override
      boolean play(Simulation sim) {
        sim.submit(sim.job("wk-000010", 6, 2, Priority.NORMAL, "free", false, false, true, "a"));
        sim.submit(sim.job("wk-000011", 6, 2, Priority.NORMAL, "free", true, false, true, null));
        sim.submit(sim.job("wk-000012", 5, 2, Priority.NORMAL, "free", false, true, true, null));
        sim.run(sim.now + 6_000);
        int lost = 0;
        for (SimulatedWorker worker : List.copyOf(sim.workers.values())) {
          if (!worker.zone.equals("a") || worker.tasks.isEmpty()) {
            continue;
          }
          lost += worker.tasks.size();
          sim.killMachine(worker.id);
        }
        sim.run(sim.now + 20_000);
        return lost > 0;
      }
    },
    /** Leaders change ten times in two minutes, also inside an outage. */
    TEN_LEADERS {
      @Override
      boolean play(Simulation sim) {
        for (int i = 0; i < 10; i++) {
          sim.at(i * 11_000L, sim::changeLeaders);
        }
        sim.at(38_000, () -> sim.state.outage = true);
        sim.at(70_000, sim.state::recover);
        sim.at(60_000, () -> sim.cancel("wk-000003"));
        sim.run(sim.now + 120_000);
        return sim.struck.getOrDefault("changeLeaders", 0) > 6
            && sim.struck.containsKey("changeLeaders, in an outage");
      }
    },
    /** A zone with workers and a controller is cut off for longer than a lease; one cancels. */
    ZONE_CUT_OFF {
      @Override
      boolean play(Simulation sim) {
        sim.cutOff("b");
        sim.run(sim.now + 300);
        String job = null;
        for (SimulatedWorker worker : sim.workers.values()) {
          if (worker.zone.equals("b") && running(worker) != null) {
            job = running(worker);
          }
        }
        boolean inside = job != null && sim.nodes.get("n1").up;
        assertEquals("cancelled", cancelAt(sim, sim.nodes.get("n0"), job).state());
        sim.run(sim.now + Simulation.CANCEL + 5_000);
        assertEquals(0, count(running(sim, job)));
        sim.rejoin();
        return inside;
      }
    },
    /** A leader ends; machines with long tasks can't be reached, or don't hear the next one. */
    LEADER_ENDS_MACHINES_UNREACHED {
      @Override
      boolean play(Simulation sim) {
        SimulatedController node = sim.nodes.get(sim.machineRec(busiest(sim).id).node());
        int i = 0;
        for (SimulatedWorker worker : sim.workers.values()) {
          if (!worker.node.equals(node.name)) {
            continue;
          }
          if (i++ % 2 == 0) {
            worker.cut = true;
          } else {
            worker.deaf = true;
          }
          sim.at(22_000, worker::hearAgain);
        }
        node.crash(30_000);
        sim.run(sim.now + 40_000);
        return i > 0;
      }
    };

    abstract boolean play(Simulation sim);
  }

  /** A job of which a task runs there; null: none. */
  private static String running(SimulatedWorker worker) {
    for (SimulatedWorker.T task : worker.tasks.values()) {
      if (task.state == TaskState.RUNNING) {
        return task.job;
      }
    }
    return null;
  }

  private static SimulatedWorker busiest(Simulation sim) {
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
  @EnumSource(Meeting.class)
  void theRulesHold(Meeting meeting) {
    for (long seed = 1; seed <= 3; seed++) {
      Simulation sim = new Simulation(200 + seed);
      sim.runMs = 25_000;
      sim.run(8_000);
      for (int i = 1; i <= 6; i++) {
        sim.submit(
            sim.job(
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
      sim.run(18_000);
      assertTrue(sim.rules.starts > 8, "work is under way");
      assertTrue(meeting.play(sim), meeting + " took place, seed " + seed);
      sim.runMs = 3_000;
      sim.rules.calmSince = sim.now;
      sim.run(sim.now + 260_000);
      assertEquals(List.of(), sim.rules.broken, meeting + ", seed " + seed);
      for (String id : sim.jobs) {
        String last = sim.rules.lastTold(id);
        assertTrue("done".equals(last) || "cancelled".equals(last), id + " is " + last);
      }
    }
  }
}
