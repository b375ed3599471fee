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
class MeetingsTest {
  private static final String VICTIM = "wk-000001";
  private static final String OTHER = "wk-000002";

  private static JobSpec plain(Sim s, String id, int tasks) {
    return s.job(id, tasks, 2, Priority.NORMAL, "free", false, false, true, null);
  }

  /** Tasks of the job that run, by the controller that their machines report to. */
  private static Map<String, Integer> running(Sim s, String job) {
    Map<String, Integer> out = new TreeMap<>();
    for (Sim.Worker w : s.workers.values()) {
      for (Sim.Worker.T t : w.tasks.values())
        if (t.job.equals(job) && t.state != TaskState.EXITED) {
          out.merge(w.node, 1, Integer::sum);
        }
    }
    return out;
  }

  private static int count(Map<String, Integer> m) {
    return m.values().stream().mapToInt(Integer::intValue).sum();
  }

  /** The user's answer; the confirmation counts from then on. */
  private static UserAnswer cancelAt(Sim s, Sim.Node n, String id) {
    s.rules.asksToCancel(id);
    List<UserAnswer> got = new ArrayList<>();
    n.event(
        () ->
            n.core.cancel(
                id,
                a -> {
                  got.add(a);
                  s.rules.told(s.now, id, a.status(), a.state());
                }));
    long until = s.now + 3_000;
    while (got.isEmpty() && s.now < until) {
      s.run(s.now + 10);
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
        Sim s = new Sim(100 + seed);
        s.runMs = 400_000;
        s.run(8_000);
        s.submit(plain(s, VICTIM, 8));
        s.submit(plain(s, OTHER, 6));
        s.run(16_000);
        assertEquals(8, count(running(s, VICTIM)));
        // leading: who owns most of the machines that run it
        Map<String, Integer> on = running(s, VICTIM);
        String name = "n0";
        for (String n : on.keySet())
          if (on.get(n) > on.getOrDefault(name, 0)) {
            name = n;
          }
        Sim.Node leader = s.nodes.get(name);
        Sim.Node confirmer = s.nodes.get(name.equals("n1") ? "n2" : "n1");
        leader.noState = true;
        s.run(s.now + 120);
        if (besides.name().startsWith("WORDS")) {
          s.heldMs = besides == Besides.WORDS_LATE ? 30_000 : 60_000;
          confirmer.cut.put(leader.name, true);
        }
        long confirmed;
        if (besides == Besides.TOLD_FROM_MEMORY) {
          s.rules.asksToCancel(VICTIM);
          confirmer.event(() -> confirmer.core.cancel(VICTIM, a -> {}));
          s.run(s.now + gap);
          s.state.outage = true;
          s.run(s.now + 3_000);
          assertEquals("cancelled", cancelAt(s, confirmer, VICTIM).state());
          confirmed = s.now;
        } else {
          assertEquals("cancelled", cancelAt(s, confirmer, VICTIM).state());
          confirmed = s.now;
          if (besides == Besides.CONFIRMER_BACK_AT_ONCE) {
            confirmer.crash(150);
          }
          if (besides.name().endsWith("GONE")) {
            confirmer.crash(500_000);
          }
          if (besides == Besides.MACHINES_CANNOT_BE_ASKED) {
            int i = 0;
            for (Sim.Worker w : s.workers.values()) {
              if (i++ % 2 != 0) {
                continue;
              }
              w.cut = true;
              s.at(8_000, () -> w.cut = false);
            }
          }
          s.run(s.now + gap);
          s.state.outage = true;
        }
        s.run(confirmed + 7_000);
        // the meeting took place: the leader can't read of it, and workers report to the leader
        assertEquals(Final.NONE, leader.core.store().job(VICTIM).fin());
        assertTrue(s.workers.values().stream().anyMatch(w -> w.node.equals(leader.name)));
        s.run(confirmed + Sim.CANCEL - 100);
        assertEquals(0, count(running(s, VICTIM)), besides + ", gap " + gap + ", seed " + seed);
        boolean heard = besides == Besides.NOTHING || besides == Besides.TOLD_FROM_MEMORY;
        if (heard) {
          assertEquals(6, count(running(s, OTHER)), "unrelated tasks run on");
        }
        s.run(confirmed + Sim.CANCEL + 15_000);
        if (heard) {
          assertEquals(6, count(running(s, OTHER)), "unrelated tasks run on");
        }
        s.state.recover();
        leader.noState = false;
        confirmer.cut.clear();
        s.run(s.now + 90_000);
        assertEquals(List.of(), s.rules.broken);
        assertEquals(0, count(running(s, VICTIM)));
        assertTrue(count(running(s, OTHER)) > 0, "the other job is run again");
        assertEquals(Final.CANCELLED, s.entry(VICTIM).fin());
      }
    }
  }

  /**
   * A controller's former process asked for its session, without an answer; it is carried out after
   * the new process has its own, and ends with the former one's lease. The new one used to go on
   * renewing a lease that held nothing, while everybody took it for dead.
   */
  @Test
  void aSessionThatIsWrittenLateReplacesNoLaterOne() {
    Sim s = new Sim(120);
    s.run(8_000);
    Sim.Node n = s.nodes.get("n1");
    long former = n.core.incarnation();
    long lease = s.state.keys.get(Store.SESSIONS + "n1").lease();
    n.crash(150);
    while (n.core.incarnation() == 0 || n.core.store().sessionLeft() <= 0) {
      s.run(s.now + 10);
    }
    assertTrue(s.state.leases.containsKey(lease), "the former lease hasn't ended yet");
    // as a former version would have asked for it, compared with nothing
    Effects.Put late = new Effects.Put(Store.SESSIONS + "n1", new SessionRec("n1", former), lease);
    s.state.transact(new Effects.Txn(List.of(), List.of(late), List.of()));
    long until = s.now + 12_000;
    boolean lost = false;
    while (s.now < until) {
      s.run(s.now + 50);
      lost |= !s.state.keys.containsKey(Store.SESSIONS + "n1");
      Sim.StateService.Val v = s.state.keys.get(Store.SESSIONS + "n1");
      lost |= v != null && ((SessionRec) v.value()).incarnation() == former;
    }
    assertTrue(lost, "it was replaced");
    Sim.StateService.Val now = s.state.keys.get(Store.SESSIONS + "n1");
    assertEquals(n.core.incarnation(), ((SessionRec) now.value()).incarnation());
    assertTrue(s.state.leases.containsKey(now.lease()));
    s.submit(plain(s, VICTIM, 12));
    s.run(s.now + 60_000);
    assertEquals(List.of(), s.rules.broken);
    assertEquals("done", s.rules.lastTold(VICTIM));
  }

  /** What this version asks for is compared with what was read, so the late one fails. */
  @Test
  void aSessionIsComparedWithWhatWasRead() {
    Sim s = new Sim(121);
    s.run(8_000);
    List<Effects.Txn> asked = s.state.asked;
    assertTrue(
        asked.stream()
            .filter(t -> t.puts().stream().anyMatch(p -> p.value() instanceof SessionRec))
            .allMatch(t -> t.when().stream().anyMatch(c -> c.key().startsWith(Store.SESSIONS))));
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
    Sim s = new Sim(122);
    s.run(8_000);
    Sim.Node slow = s.nodes.get("n0");
    slow.lag = 3_500;
    List<UserAnswer> got = new ArrayList<>();
    JobSpec j = plain(s, VICTIM, 4);
    s.rules.submitted(j);
    slow.event(() -> slow.core.submit(j, got::add));
    s.run(s.now + 400);
    assertEquals(List.of(), got);
    assertEquals("cancelled", cancelAt(s, s.nodes.get("n1"), VICTIM).state());
    s.run(s.now + 3_300);
    slow.lag = 0;
    s.run(s.now + 5_000);
    assertEquals(1, got.size());
    UserAnswer a = got.get(0);
    assertEquals(503, a.status(), a.toString());
    slow.event(() -> slow.core.submit(j, got::add));
    s.run(s.now + 1_000);
    assertEquals("cancelled", got.get(1).state());
    assertEquals(200, got.get(1).status());
  }

  /** Wrong by itself, but accepted all the same, as by another version: its state is told. */
  @Test
  void anAcceptedJobsRepetitionIsNeverWrong() {
    Sim s = new Sim(123);
    s.runMs = 100_000;
    s.run(8_000);
    s.submit(plain(s, VICTIM, 4));
    s.run(9_000);
    for (Sim.Node n : s.nodes.values()) {
      for (String id : List.of(VICTIM, "wk-000777")) {
        List<UserAnswer> got = new ArrayList<>();
        JobSpec never = s.job(id, 1, 99, Priority.NORMAL, "free", false, false, true, null);
        n.event(() -> n.core.submit(never, got::add));
        s.run(s.now + 1_000);
        n.event(() -> n.core.refuse(id, "oficio must be batch", got::add));
        s.run(s.now + 1_000);
        assertEquals(id.equals(VICTIM) ? 200 : 422, got.get(0).status());
        assertEquals(id.equals(VICTIM) ? 200 : 400, got.get(1).status());
      }
    }
    // at once also while the state service can't be asked
    s.state.outage = true;
    s.run(s.now + 5_000);
    List<UserAnswer> got = new ArrayList<>();
    Sim.Node n = s.nodes.get("n0");
    n.event(() -> n.core.refuse("wk-000778", "oficio must be batch", got::add));
    assertEquals(400, got.get(0).status());
    n.event(() -> n.core.refuse(VICTIM, "oficio must be batch", got::add));
    s.run(s.now + 1_000);
    assertEquals(503, got.get(1).status());
  }

  /**
   * The state service answers slowly while a user asks at one controller and cancels at another:
   * the question, read before the cancellation, is answered after it was confirmed.
   */
  @Test
  void aQuestionOvertakenByACancellationIsNotAnsweredWithLess() {
    for (long lag : new long[] {300, 600, 900}) {
      Sim s = new Sim(124);
      s.runMs = 100_000;
      s.run(8_000);
      s.submit(plain(s, VICTIM, 4));
      s.run(12_000);
      Sim.Node slow = s.nodes.get("n0");
      slow.lag = lag;
      s.rules.asksToCancel(VICTIM);
      List<UserAnswer> asked = new ArrayList<>();
      List<UserAnswer> cancelled = new ArrayList<>();
      slow.event(() -> slow.core.query(VICTIM, asked::add));
      s.run(s.now + 30);
      Sim.Node fast = s.nodes.get("n1");
      fast.event(() -> fast.core.cancel(VICTIM, cancelled::add));
      s.run(s.now + 150);
      assertEquals("cancelled", cancelled.get(0).state());
      assertEquals(List.of(), asked, "not answered yet");
      s.run(s.now + 1_500);
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
      Sim s = new Sim(140 + seed);
      s.run(8_000);
      s.submit(plain(s, VICTIM, 12));
      long until = s.now + 3_000;
      while (s.now < until && count(running(s, VICTIM)) < 8) {
        s.run(s.now + 20);
      }
      s.run(s.now + 250);
      assertEquals("cancelled", cancelAt(s, s.nodes.get("n" + seed % 3), VICTIM).state());
      for (Sim.Worker w : s.workers.values())
        for (Sim.Worker.T t : w.tasks.values())
          if (t.state == TaskState.FETCHING) {
            waiting++;
          }
      s.run(s.now + 10_000);
      begun += s.rules.startsAfterCancel;
      assertEquals(List.of(), s.rules.broken);
    }
    assertTrue(waiting > 40, "waited: " + waiting);
    assertTrue(begun * 10 < waiting, "of " + waiting + " that waited, begun: " + begun);
  }

  /** The meetings that need no other evidence than that they struck; each says whether it did. */
  enum Meeting {
    /** Cancellations, questions and repetitions at the moment of a job's last end, everywhere. */
    END_AND_CANCELLATION {
      @Override
      boolean play(Sim s) {
        s.cancelAtEnd = 0.5;
        for (int i = 10; i < 40; i++) {
          s.submit(plain(s, "wk-0000" + i, 1 + i % 3));
        }
        for (int i = 0; i < 400; i++) {
          s.at(i * 100L, () -> s.oddRequests(1)); // repeats submissions, cancels what is done
        }
        s.run(s.now + 60_000);
        s.cancelAtEnd = 0;
        return s.struck.containsKey("cancelAtEnd")
            && s.struck.containsKey("cancelAtEnd, one task short")
            && s.struck.containsKey("oddRequests, over again");
      }
    },
    /** A report is held back until another owns the machine, then arrives there and elsewhere. */
    HELD_REPORT_AND_NEW_OWNER {
      @Override
      boolean play(Sim s) {
        Sim.Worker w = busiest(s);
        Report held = w.snapshot();
        MachineRec before = s.machineRec(w.id);
        s.nodes.get(before.node()).crash(9_000);
        long until = s.now + 15_000;
        while (s.now < until && s.machineRec(w.id).node().equals(before.node())) {
          s.run(s.now + 50);
        }
        s.run(s.now + 2_000);
        MachineRec since = s.machineRec(w.id);
        boolean refused = true;
        for (Sim.Node n : s.nodes.values()) {
          if (!n.up) {
            continue;
          }
          List<ReportAnswer> got = new ArrayList<>();
          n.event(() -> n.core.report(held, got::add));
          s.run(s.now + 200);
          refused &= got.get(0).status() != 200;
        }
        assertTrue(refused, "a report that old renews nothing");
        return !since.node().equals(before.node());
      }
    },
    /** A leader without state service and peers; its jobs are cancelled through another. */
    LEADER_APART_AND_CANCELLATION {
      @Override
      boolean play(Sim s) {
        Sim.Worker w = busiest(s);
        Sim.Node h = s.nodes.get(s.machineRec(w.id).node());
        String job = running(w);
        s.isolate(h);
        Sim.Node other = s.nodes.get(h.name.equals("n1") ? "n2" : "n1");
        assertEquals("cancelled", cancelAt(s, other, job).state());
        boolean apart = count(running(s, job)) > 0;
        s.run(s.now + Sim.CANCEL);
        assertEquals(0, count(running(s, job)));
        s.run(s.now + 10_000);
        h.noState = false;
        s.rejoin();
        return apart;
      }
    },
    /** All controllers are away for longer than a lease. */
    ALL_AWAY_FOR_A_LEASE {
      @Override
      boolean play(Sim s) {
        for (Sim.Node n : s.nodes.values()) n.crash(Sim.LEASE + 5_000);
        s.run(s.now + Sim.LEASE + 4_000);
        return s.workers.values().stream().allMatch(w -> w.session > 1 && w.tasks.isEmpty());
      }
    },
    /** The state service is slow, then refuses a leader, then all, while users cancel and ask. */
    SLOW_STATE_AND_CANCELLATION {
      @Override
      boolean play(Sim s) {
        s.rules.crossingsBreak = false;
        s.slowState = 2_500;
        s.at(2_000, () -> s.cancelNow(3, 0));
        s.at(9_000, () -> s.oddRequests(20));
        s.run(s.now + 20_000);
        s.slowState = 0;
        s.refusedThenOutage(s.nodes.get("n0"), 3_000, Sim.CANCEL + 5_000);
        s.at(2_500, () -> s.cancelNow(2, 0));
        s.run(s.now + Sim.CANCEL + 10_000);
        return s.struck.containsKey("slowState") && s.struck.containsKey("cancelNow");
      }
    },
    /** A team at its limit, a change of leader, machines that can't be asked, a cancellation. */
    TEAM_AT_ITS_LIMIT {
      @Override
      boolean play(Sim s) {
        for (int i = 1; i <= 4; i++) {
          s.cancel("wk-00000" + i); // makes room for it
        }
        double used = 0;
        for (long until = s.now + 20_000; used < 22 && s.now < until; s.run(s.now + 200)) {
          used = ((TeamRec) s.state.keys.get(Store.TEAMS + "tight").value()).cpus();
        }
        Sim.Node h = s.nodes.get(s.entry("wk-000005").holder());
        h.crash(700);
        int i = 0;
        for (Sim.Worker w : s.workers.values()) {
          if (i++ % 2 != 0) {
            continue;
          }
          w.cut = true;
          s.at(15_000, () -> w.cut = false);
        }
        s.at(1_500, () -> s.cancel("wk-000005"));
        s.run(s.now + 30_000);
        return used >= 22;
      }
    },
    /** More work than room, urgent and not, over slow links. */
    TOO_MUCH_WORK_SLOWLY {
      @Override
      boolean play(Sim s) {
        for (Sim.Node n : s.nodes.values()) n.lag = 400;
        s.rosterChaos = 0.3;
        for (int i = 10; i < 50; i++) {
          Priority p = Priority.values()[i % 4];
          s.submit(s.job("wk-0000" + i, 4, 2, p, "free", false, false, true, null));
        }
        s.run(s.now + 40_000);
        long open =
            s.state.keys.values().stream()
                .filter(v -> v.value() instanceof JobRec j && j.fin() == Final.NONE)
                .count();
        for (Sim.Node n : s.nodes.values()) n.lag = 0;
        s.rosterChaos = 0;
        return open > 5;
      }
    },
    /** Machines reach no controller for longer than a lease; commands reach them; one cancels. */
    MUTE_MACHINES {
      @Override
      boolean play(Sim s) {
        for (Sim.Worker w : s.workers.values()) w.mute = true;
        s.at(3_000, () -> s.cancel("wk-000004"));
        s.run(s.now + Sim.LEASE + 8_000);
        for (Sim.Worker w : s.workers.values()) w.mute = false;
        return s.struck.containsKey("mute");
      }
    },
    /** Commands and their answers are held up by machines that hang and go on. */
    HELD_COMMANDS {
      @Override
      boolean play(Sim s) {
        s.runMs = 1_500;
        s.run(s.now + 30_000);
        for (int i = 10; i < 40; i++) {
          String id = "wk-0000" + i;
          s.at(i * 1_000L, () -> s.submit(plain(s, id, 4)));
        }
        for (int i = 0; i < 20; i++) {
          s.at(
              i * 2_500L,
              () -> {
                for (Sim.Worker w : s.workers.values()) w.hang(s.rnd.nextInt(4_000));
              });
        }
        s.at(14_000, () -> s.cancelNow(2, 8_000));
        s.run(s.now + 55_000);
        return s.struck.containsKey("hang, held orders executed");
      }
    },
    /** Controllers hand over and back, all end, and one returns, also within a second. */
    THERE_AND_BACK {
      @Override
      boolean play(Sim s) {
        for (int i = 0; i < 6; i++) {
          s.nodes.get(Sim.NODES.get(i % 3)).crash(i % 2 == 0 ? 150 : 6_000);
          s.run(s.now + 5_000);
        }
        s.run(s.now + 8_000);
        for (Sim.Node n : s.nodes.values()) n.crash(n.name.equals("n1") ? 300 : 20_000);
        s.run(s.now + 2_000);
        boolean one = s.nodes.get("n1").up && !s.nodes.get("n0").up && !s.nodes.get("n2").up;
        s.run(s.now + 25_000);
        return one;
      }
    },
    /** Transactions without an answer are carried out late, after newer ones, also of the dead. */
    LATE_TRANSACTIONS {
      @Override
      boolean play(Sim s) {
        s.lateWrites = 0.3;
        for (int i = 10; i < 20; i++) {
          s.submit(s.job("wk-0000" + i, 4, 2, Priority.NORMAL, "tight", false, false, true, null));
        }
        for (int i = 0; i < 4; i++) {
          s.run(s.now + 8_000);
          s.nodes.get(Sim.NODES.get(i % 3)).crash(200);
        }
        s.run(s.now + 10_000);
        s.lateWrites = 0;
        s.run(s.now + 13_000);
        return s.struck.containsKey("lateWrites, applied");
      }
    },
    /** Jobs of two or three tasks that end far apart, with another leader in between. */
    ENDS_FAR_APART {
      @Override
      boolean play(Sim s) {
        for (int j = 10; j < 16; j++) {
          String id = "wk-0000" + j;
          for (int t = 0; t < 3; t++) {
            s.runOf.put(id + "/" + t, 2_000L + t * 30_000L);
          }
          s.submit(plain(s, id, 2 + j % 2));
        }
        s.run(s.now + 24_000);
        boolean between = false;
        for (int j = 10; j < 16; j++) {
          JobRec r = s.entry("wk-0000" + j);
          between |= r.doneCount() > 0 && r.doneCount() < r.spec().tasks();
        }
        for (Sim.Node n : s.nodes.values()) n.crash(n.name.equals("n2") ? 200 : 5_000);
        s.run(s.now + 22_000);
        s.changeLeaders();
        s.run(s.now + 30_000);
        return between;
      }
    },
    /** Jobs of one zone, pinned and not, lose machines. */
    ONE_ZONE_LOSES_MACHINES {
      @Override
      boolean play(Sim s) {
        s.submit(s.job("wk-000010", 6, 2, Priority.NORMAL, "free", false, false, true, "a"));
        s.submit(s.job("wk-000011", 6, 2, Priority.NORMAL, "free", true, false, true, null));
        s.submit(s.job("wk-000012", 5, 2, Priority.NORMAL, "free", false, true, true, null));
        s.run(s.now + 6_000);
        int lost = 0;
        for (Sim.Worker w : List.copyOf(s.workers.values())) {
          if (!w.zone.equals("a") || w.tasks.isEmpty()) {
            continue;
          }
          lost += w.tasks.size();
          s.killMachine(w.id);
        }
        s.run(s.now + 20_000);
        return lost > 0;
      }
    },
    /** Leaders change ten times in two minutes, also inside an outage. */
    TEN_LEADERS {
      @Override
      boolean play(Sim s) {
        for (int i = 0; i < 10; i++) {
          s.at(i * 11_000L, s::changeLeaders);
        }
        s.at(38_000, () -> s.state.outage = true);
        s.at(70_000, s.state::recover);
        s.at(60_000, () -> s.cancel("wk-000003"));
        s.run(s.now + 120_000);
        return s.struck.getOrDefault("changeLeaders", 0) > 6
            && s.struck.containsKey("changeLeaders, in an outage");
      }
    },
    /** A zone with workers and a controller is cut off for longer than a lease; one cancels. */
    ZONE_CUT_OFF {
      @Override
      boolean play(Sim s) {
        s.cutOff("b");
        s.run(s.now + 300);
        String job = null;
        for (Sim.Worker w : s.workers.values())
          if (w.zone.equals("b") && running(w) != null) {
            job = running(w);
          }
        boolean inside = job != null && s.nodes.get("n1").up;
        assertEquals("cancelled", cancelAt(s, s.nodes.get("n0"), job).state());
        s.run(s.now + Sim.CANCEL + 5_000);
        assertEquals(0, count(running(s, job)));
        s.rejoin();
        return inside;
      }
    },
    /** A leader ends; machines with long tasks can't be reached, or don't hear the next one. */
    LEADER_ENDS_MACHINES_UNREACHED {
      @Override
      boolean play(Sim s) {
        Sim.Node h = s.nodes.get(s.machineRec(busiest(s).id).node());
        int i = 0;
        for (Sim.Worker w : s.workers.values()) {
          if (!w.node.equals(h.name)) {
            continue;
          }
          if (i++ % 2 == 0) {
            w.cut = true;
          } else {
            w.deaf = true;
          }
          s.at(22_000, () -> w.cut = w.deaf = false);
        }
        h.crash(30_000);
        s.run(s.now + 40_000);
        return i > 0;
      }
    };

    abstract boolean play(Sim s);
  }

  /** A job of which a task runs there; null: none. */
  private static String running(Sim.Worker w) {
    for (Sim.Worker.T t : w.tasks.values())
      if (t.state == TaskState.RUNNING) {
        return t.job;
      }
    return null;
  }

  private static Sim.Worker busiest(Sim s) {
    Sim.Worker most = null;
    for (Sim.Worker w : s.workers.values())
      if (most == null || w.tasks.size() > most.tasks.size()) {
        most = w;
      }
    return most;
  }

  /** Six jobs run, two of them of a team at its limit, when the troubles meet. */
  @ParameterizedTest
  @EnumSource(Meeting.class)
  void theRulesHold(Meeting meeting) {
    for (long seed = 1; seed <= 3; seed++) {
      Sim s = new Sim(200 + seed);
      s.runMs = 25_000;
      s.run(8_000);
      for (int i = 1; i <= 6; i++) {
        s.submit(
            s.job(
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
      s.run(18_000);
      assertTrue(s.rules.starts > 8, "work is under way");
      assertTrue(meeting.play(s), meeting + " took place, seed " + seed);
      s.runMs = 3_000;
      s.rules.calmSince = s.now;
      s.run(s.now + 260_000);
      assertEquals(List.of(), s.rules.broken, meeting + ", seed " + seed);
      for (String id : s.jobs) {
        String last = s.rules.lastTold(id);
        assertTrue("done".equals(last) || "cancelled".equals(last), id + " is " + last);
      }
    }
  }
}
