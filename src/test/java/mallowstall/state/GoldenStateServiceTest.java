package mallowstall.state;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import mallowstall.Fixtures;
import mallowstall.LoopbackServer;
import mallowstall.core.kernel.Condition;
import mallowstall.core.kernel.GetResult;
import mallowstall.core.kernel.KeyValue;
import mallowstall.core.kernel.LeaseResult;
import mallowstall.core.kernel.ListResult;
import mallowstall.core.kernel.PutOperation;
import mallowstall.core.kernel.ResultCode;
import mallowstall.core.kernel.Transaction;
import mallowstall.core.kernel.TransactionResult;
import mallowstall.core.kernel.WatchResult;
import mallowstall.core.model.IncarnationCounterEntry;
import mallowstall.core.model.SessionEntry;
import mallowstall.core.model.TeamUsageEntry;
import org.junit.jupiter.api.Test;

/** Tests the exact requests to the state service and how its responses are interpreted. */
class GoldenStateServiceTest {
  private static final Transaction TRANSACTION =
      new Transaction(
          List.of(new Condition("c/incarnations", 41), new Condition("c/n/n1", 0)),
          List.of(
              new PutOperation("c/incarnations", new IncarnationCounterEntry(9), 0),
              new PutOperation("c/n/n1", new SessionEntry("n1", 9), 77)),
          List.of("c/d/n9", "c/t/old"));
  private static final Transaction EMPTY_TRANSACTION =
      new Transaction(List.of(), List.of(), List.of());

  private static StateServiceClient stateClient(LoopbackServer server) {
    return new StateServiceClient(server.client(), server.client(), Runnable::run);
  }

  @Test
  void transactionRequestsAndResponsesKeepTheirFormat() throws Exception {
    try (LoopbackServer server = new LoopbackServer()) {
      StateServiceClient state = stateClient(server);
      Object[][] cases = {
        {200, "{\"tirada\":512}", new TransactionResult(ResultCode.OK, 512)},
        {200, "no JSON", new TransactionResult(ResultCode.OUTCOME_UNKNOWN, 0)},
        {409, "{\"tirada\":513}", new TransactionResult(ResultCode.CONFLICT, 513)},
        {
          400, "{\"error\":\"no such lease\"}", new TransactionResult(ResultCode.LEASE_NOT_FOUND, 0)
        },
        {400, "{\"error\":\"too large\"}", new TransactionResult(ResultCode.INVALID, 0)},
        {404, "{}", new TransactionResult(ResultCode.EXPIRED, 0)},
        {410, "{}", new TransactionResult(ResultCode.EXPIRED, 0)},
        {429, "{}", new TransactionResult(ResultCode.REJECTED, 0)},
        {503, "{}", new TransactionResult(ResultCode.REJECTED, 0)},
      };
      server.<TransactionResult>answer(200, "{}", then -> state.transact(TRANSACTION, then));
      for (Object[] c : cases) {
        TransactionResult reply =
            server.answer(
                (int) c[0], (String) c[1], then -> state.transact(EMPTY_TRANSACTION, then));
        assertEquals(c[2], reply, c[0] + " " + c[1]);
      }
      Fixtures.assertMatchesFixture("state-changes.txt", server.requests());
    }
  }

  @Test
  void readRequestsAndResponsesKeepTheirFormat() throws Exception {
    try (LoopbackServer server = new LoopbackServer()) {
      StateServiceClient state = stateClient(server);
      String item = "{\"key\":\"c/n/n1\",\"data\":{\"node\":\"n1\",\"incarnation\":9},\"sello\":4}";

      GetResult found = server.answer(200, item, then -> state.get("c/n/n1", then));
      GetResult absent = server.answer(404, "{}", then -> state.get("c/n/n1", then));
      GetResult failed = server.answer(503, "{}", then -> state.get("c/n/n1", then));
      GetResult unreadable = server.answer(200, "{}", then -> state.get("c/n/n1", then));
      ListResult first =
          server.answer(200, Fixtures.text("state-page.json"), then -> state.list(null, then));
      ListResult last =
          server.answer(200, "{\"tirada\":9}", then -> state.list("c/t/vision", then));
      ListResult rejected = server.answer(503, "{}", then -> state.list(null, then));

      KeyValue session = new KeyValue("c/n/n1", new SessionEntry("n1", 9), 4);
      assertEquals(new GetResult(ResultCode.OK, session), found);
      assertEquals(new GetResult(ResultCode.OK, new KeyValue("c/n/n1", null, 0)), absent);
      assertEquals(new GetResult(ResultCode.REJECTED, null), failed);
      assertEquals(new GetResult(ResultCode.REJECTED, null), unreadable);
      KeyValue team = new KeyValue("c/t/vision", new TeamUsageEntry(1.5, 2), 5);
      assertEquals(
          new ListResult(ResultCode.OK, List.of(session, team), true, 600, "c/other"), first);
      assertEquals(new ListResult(ResultCode.OK, List.of(), false, 9), last);
      assertEquals(new ListResult(ResultCode.REJECTED, List.of(), false, 0), rejected);
      Fixtures.assertMatchesFixture("state-reads.txt", server.requests());
    }
  }

  @Test
  void watchAndLeaseRequestsAndResponsesKeepTheirFormat() throws Exception {
    try (LoopbackServer server = new LoopbackServer()) {
      StateServiceClient state =
          new StateServiceClient(server.client(), server.client(), Runnable::run);
      WatchResult changed =
          server.answer(
              200, Fixtures.text("state-events.json"), then -> state.watch(600, 5_000, then));
      WatchResult compacted = server.answer(410, "{}", then -> state.watch(1, 5_000, then));
      WatchResult failed = server.answer(503, "{}", then -> state.watch(1, 5_000, then));
      Fixtures.assertMatchesFixture("state-watches.txt", server.requests());

      KeyValue put = new KeyValue("c/t/vision", new TeamUsageEntry(1.5, 2), 601);
      KeyValue deletion = new KeyValue("c/n/n1", null, 602);
      assertEquals(new WatchResult(ResultCode.OK, List.of(put, deletion), 602), changed);
      assertEquals(new WatchResult(ResultCode.EXPIRED, List.of(), 0), compacted);
      assertEquals(new WatchResult(ResultCode.REJECTED, List.of(), 0), failed);
    }
    try (LoopbackServer server = new LoopbackServer()) {
      StateServiceClient state = stateClient(server);
      LeaseResult granted =
          server.answer(200, "{\"permiso\":77}", then -> state.grantLease(10_000, then));
      LeaseResult rejected = server.answer(503, "{}", then -> state.grantLease(10_000, then));
      LeaseResult renewed = server.answer(200, "{}", then -> state.renewLease(77, then));
      LeaseResult expired = server.answer(404, "{}", then -> state.renewLease(77, then));
      LeaseResult failed = server.answer(503, "{}", then -> state.renewLease(77, then));

      assertEquals(new LeaseResult(ResultCode.OK, 77), granted);
      assertEquals(new LeaseResult(ResultCode.REJECTED, 0), rejected);
      assertEquals(new LeaseResult(ResultCode.OK, 77), renewed);
      assertEquals(new LeaseResult(ResultCode.EXPIRED, 77), expired);
      assertEquals(new LeaseResult(ResultCode.REJECTED, 77), failed);
      Fixtures.assertMatchesFixture("state-leases.txt", server.requests());
    }
  }
}
