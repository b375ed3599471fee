package mallowstall.core;

import static mallowstall.core.model.JobSpecBuilder.batchJob;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import mallowstall.core.model.AcceptanceQuery;
import mallowstall.core.model.AcceptanceQueryEnd;
import mallowstall.core.model.AcceptanceReply;
import mallowstall.core.model.ApiResponse;
import mallowstall.core.model.PeerMessage;
import org.junit.jupiter.api.Test;

/**
 * Guards against a flood of acceptance queries between controllers when users send many queries,
 * and against peer messages that match no acceptance query.
 */
class AcceptanceQueryTest {
  private static final String UNKNOWN_JOB = "wk-000099";
  private static final int USER_QUERIES = 5_000;
  private static final long FLOOD_MS = 2_000;

  /** Maximum number of acceptance queries: one every 100 ms to each of two peers, and a margin. */
  private static final int ACCEPTANCE_QUERIES_MAX = 2 * (int) (FLOOD_MS / 100 + 12);

  private static Simulation ready(long seed) {
    Simulation sim = new Simulation(seed);
    sim.runUntil(8_000);
    return sim;
  }

  private static List<ApiResponse> query(SimulatedController node, String job) {
    List<ApiResponse> answers = new ArrayList<>();
    node.enqueueEvent(() -> node.core.query(job, answers::add));
    return answers;
  }

  /**
   * Many user queries for unknown jobs arrive at one controller. Each query is answered, the
   * controllers exchange few messages, and another controller accepts a job at the same time.
   */
  @Test
  void manyQueriesForUnknownJobsShareFewMessages() {
    Simulation sim = ready(996);
    SimulatedController asked = sim.controllers.get("n1");
    List<List<ApiResponse>> answers = new ArrayList<>();
    for (int i = 0; i < USER_QUERIES; i++) {
      String job = "wk-5" + i;
      sim.schedule(i * FLOOD_MS / USER_QUERIES, () -> answers.add(query(asked, job)));
    }
    sim.runUntil(sim.nowMs + FLOOD_MS / 2);
    List<ApiResponse> accepted = new ArrayList<>();
    sim.checker.onSubmitted(batchJob("wk-000001").tasks(1).cpus(1).build());
    SimulatedController accepting = sim.controllers.get("n0");
    accepting.enqueueEvent(
        () -> accepting.core.submit(batchJob("wk-000001").tasks(1).cpus(1).build(), accepted::add));
    sim.runUntil(sim.nowMs + FLOOD_MS / 2 + 4_000);
    int unknown = 0;
    for (List<ApiResponse> answer : answers) {
      assertEquals(1, answer.size(), "answered once");
      int status = answer.get(0).status();
      assertTrue(status == 404 || status == 503, "status " + status);
      unknown += status == 404 ? 1 : 0;
    }
    assertEquals(USER_QUERIES, answers.size());
    assertTrue(unknown > 0, "some queries are answered 404");
    assertTrue(
        asked.acceptanceQueriesSent <= ACCEPTANCE_QUERIES_MAX,
        "queries " + asked.acceptanceQueriesSent);
    assertEquals("pending", accepted.get(0).state());
  }

  /**
   * Acceptance messages that match no query, come from an unknown node or are addressed to a former
   * process change nothing.
   */
  @Test
  void unmatchedMessagesChangeNothing() {
    Simulation sim = ready(997);
    SimulatedController node = sim.controllers.get("n1");
    long incarnation = node.core.incarnation();
    List<PeerMessage> stray =
        List.of(
            new AcceptanceReply("n0", incarnation, 77, List.of()),
            new AcceptanceReply("nobody", incarnation, 1, List.of(UNKNOWN_JOB)),
            new AcceptanceReply("n0", incarnation - 1, 1, List.of()),
            new AcceptanceQueryEnd("nobody", 0, 5),
            new AcceptanceQuery("nobody", 0, 1, List.of("", "no job id", UNKNOWN_JOB)));
    stray.forEach(message -> node.enqueueEvent(() -> node.core.handleMessage(message)));
    List<ApiResponse> answers = query(node, UNKNOWN_JOB);
    stray.forEach(message -> node.enqueueEvent(() -> node.core.handleMessage(message)));
    sim.runUntil(sim.nowMs + 1_200);
    assertEquals(1, answers.size(), "answered once");
    assertEquals(404, answers.get(0).status());
    assertNull(node.core.store().job(UNKNOWN_JOB));
  }

  /**
   * A later acceptance query completes while an earlier query still waits for a late reply. The end
   * of the later query must not end the leases of the earlier one, or the job is accepted before
   * the earlier query is answered 404.
   */
  @Test
  void endOfLaterQueryKeepsLeasesOfEarlierQuery() {
    Simulation sim = ready(999);
    String job = "wk-000001";
    sim.checker.onSubmitted(batchJob(job).tasks(1).cpus(1).build());
    SimulatedController queried = sim.controllers.get("n1");
    SimulatedController accepting = sim.controllers.get("n0");
    long incarnation = queried.core.incarnation();
    queried.watchStalled = true; // its state replica doesn't receive the job's entry
    sim.controllers.get("n2").pauseMs = 3_000;
    sim.runUntil(sim.nowMs + 150);
    List<ApiResponse> refused = query(queried, job);
    sim.runUntil(sim.nowMs + 120);
    query(queried, UNKNOWN_JOB);
    sim.runUntil(sim.nowMs + 100);
    AcceptanceReply replyToSecond = new AcceptanceReply("n2", incarnation, 2, List.of());
    queried.enqueueEvent(() -> queried.core.handleMessage(replyToSecond));
    sim.runUntil(sim.nowMs + 350);
    List<ApiResponse> submitted = new ArrayList<>();
    accepting.enqueueEvent(
        () ->
            accepting.core.submit(
                batchJob(job).tasks(1).cpus(1).build(),
                answer -> {
                  submitted.add(answer);
                  sim.checker.onAnswer(sim.nowMs, job, answer.status(), answer.state());
                }));
    sim.runUntil(sim.nowMs + 100);
    assertEquals(List.of(), refused, "still waits for a reply");
    AcceptanceReply replyToFirst = new AcceptanceReply("n2", incarnation, 1, List.of());
    queried.enqueueEvent(() -> queried.core.handleMessage(replyToFirst));
    assertEquals(1, refused.size(), "answered once");
    sim.checker.onAnswer(sim.nowMs, job, refused.get(0).status(), refused.get(0).state());
    assertEquals(1, submitted.size(), "answered once");
    assertEquals(503, submitted.get(0).status(), "the lease of the first query still holds");
    assertEquals(List.of(), sim.checker.violations);
    assertEquals(404, refused.get(0).status(), "the first query completes as well");
  }

  /** If one of two peers doesn't reply, a query is answered 503 instead of 404 within 1.1 s. */
  @Test
  void missingPeerReplyIsAnswered503InTime() {
    Simulation sim = ready(998);
    sim.controllers.get("n2").pauseMs = 3_000;
    sim.runUntil(sim.nowMs + 200);
    long askedMs = sim.nowMs;
    List<ApiResponse> answers = query(sim.controllers.get("n1"), UNKNOWN_JOB);
    while (answers.isEmpty() && sim.nowMs < askedMs + 3_000) {
      sim.runUntil(sim.nowMs + 10);
    }
    assertEquals(503, answers.get(0).status());
    assertTrue(sim.nowMs - askedMs <= 1_100, "answered after " + (sim.nowMs - askedMs) + " ms");
  }
}
