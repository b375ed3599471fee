package mallowstall.state;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import mallowstall.Fixtures;
import mallowstall.LoopbackServer;
import mallowstall.core.Effects.Code;
import mallowstall.core.Effects.Cond;
import mallowstall.core.Effects.GetReply;
import mallowstall.core.Effects.Item;
import mallowstall.core.Effects.LeaseReply;
import mallowstall.core.Effects.ListReply;
import mallowstall.core.Effects.Put;
import mallowstall.core.Effects.Txn;
import mallowstall.core.Effects.TxnReply;
import mallowstall.core.Effects.WatchReply;
import mallowstall.core.Model.CounterRec;
import mallowstall.core.Model.SessionRec;
import mallowstall.core.Model.TeamRec;
import org.junit.jupiter.api.Test;

/** The exact requests to the state service, and what its answers mean. */
class GoldenStateServiceTest {
  private static final Txn CHANGE =
      new Txn(
          List.of(new Cond("c/incarnations", 41), new Cond("c/n/n1", 0)),
          List.of(
              new Put("c/incarnations", new CounterRec(9), 0),
              new Put("c/n/n1", new SessionRec("n1", 9), 77)),
          List.of("c/d/n9", "c/t/old"));
  private static final Txn NOTHING = new Txn(List.of(), List.of(), List.of());

  private static StateServiceClient adapter(LoopbackServer server) {
    return new StateServiceClient(server.client(), server.client(), Runnable::run);
  }

  @Test
  void changesAreSentAsEverAndTheirAnswersUnderstood() throws Exception {
    try (LoopbackServer server = new LoopbackServer()) {
      StateServiceClient state = adapter(server);
      Object[][] cases = {
        {200, "{\"tirada\":512}", new TxnReply(Code.OK, 512)},
        {200, "no JSON", new TxnReply(Code.UNKNOWN, 0)},
        {409, "{\"tirada\":513}", new TxnReply(Code.CONFLICT, 513)},
        {400, "{\"error\":\"no such lease\"}", new TxnReply(Code.NO_LEASE, 0)},
        {400, "{\"error\":\"too large\"}", new TxnReply(Code.MALFORMED, 0)},
        {404, "{}", new TxnReply(Code.GONE, 0)},
        {410, "{}", new TxnReply(Code.GONE, 0)},
        {429, "{}", new TxnReply(Code.REFUSED, 0)},
        {503, "{}", new TxnReply(Code.REFUSED, 0)},
      };
      server.<TxnReply>answer(200, "{}", then -> state.transact(CHANGE, then));
      for (Object[] c : cases) {
        TxnReply reply =
            server.answer((int) c[0], (String) c[1], then -> state.transact(NOTHING, then));
        assertEquals(c[2], reply, c[0] + " " + c[1]);
      }
      Fixtures.assertSame("state-changes.txt", server.requests());
    }
  }

  @Test
  void readsAreSentAsEverAndTheirAnswersUnderstood() throws Exception {
    try (LoopbackServer server = new LoopbackServer()) {
      StateServiceClient state = adapter(server);
      String item = "{\"key\":\"c/n/n1\",\"data\":{\"node\":\"n1\",\"incarnation\":9},\"sello\":4}";

      GetReply found = server.answer(200, item, then -> state.get("c/n/n1", then));
      GetReply none = server.answer(404, "{}", then -> state.get("c/n/n1", then));
      GetReply failed = server.answer(503, "{}", then -> state.get("c/n/n1", then));
      GetReply unread = server.answer(200, "{}", then -> state.get("c/n/n1", then));
      ListReply first =
          server.answer(200, Fixtures.text("state-page.json"), then -> state.list(null, then));
      ListReply last = server.answer(200, "{\"tirada\":9}", then -> state.list("c/t/vision", then));
      ListReply refused = server.answer(503, "{}", then -> state.list(null, then));

      Item session = new Item("c/n/n1", new SessionRec("n1", 9), 4);
      assertEquals(new GetReply(Code.OK, session), found);
      assertEquals(new GetReply(Code.OK, new Item("c/n/n1", null, 0)), none);
      assertEquals(new GetReply(Code.REFUSED, null), failed);
      assertEquals(new GetReply(Code.REFUSED, null), unread);
      Item team = new Item("c/t/vision", new TeamRec(1.5, 2), 5);
      assertEquals(new ListReply(Code.OK, List.of(session, team), true, 600), first);
      assertEquals(new ListReply(Code.OK, List.of(), false, 9), last);
      assertEquals(new ListReply(Code.REFUSED, List.of(), false, 0), refused);
      Fixtures.assertSame("state-reads.txt", server.requests());
    }
  }

  @Test
  void watchesAndLeasesAreSentAsEverAndTheirAnswersUnderstood() throws Exception {
    try (LoopbackServer server = new LoopbackServer()) {
      StateServiceClient state =
          new StateServiceClient(server.client(), server.client(), Runnable::run);
      WatchReply news =
          server.answer(
              200, Fixtures.text("state-events.json"), then -> state.watch(600, 5_000, then));
      WatchReply gone = server.answer(410, "{}", then -> state.watch(1, 5_000, then));
      WatchReply failed = server.answer(503, "{}", then -> state.watch(1, 5_000, then));
      Fixtures.assertSame("state-watches.txt", server.requests());

      Item set = new Item("c/t/vision", new TeamRec(1.5, 2), 601);
      Item drop = new Item("c/n/n1", null, 602);
      assertEquals(new WatchReply(Code.OK, List.of(set, drop), 602), news);
      assertEquals(new WatchReply(Code.GONE, List.of(), 0), gone);
      assertEquals(new WatchReply(Code.REFUSED, List.of(), 0), failed);
    }
    try (LoopbackServer server = new LoopbackServer()) {
      StateServiceClient state = adapter(server);
      LeaseReply granted =
          server.answer(200, "{\"permiso\":77}", then -> state.grantLease(10_000, then));
      LeaseReply refused = server.answer(503, "{}", then -> state.grantLease(10_000, then));
      LeaseReply renewed = server.answer(200, "{}", then -> state.renewLease(77, then));
      LeaseReply over = server.answer(404, "{}", then -> state.renewLease(77, then));
      LeaseReply failed = server.answer(503, "{}", then -> state.renewLease(77, then));

      assertEquals(new LeaseReply(Code.OK, 77), granted);
      assertEquals(new LeaseReply(Code.REFUSED, 0), refused);
      assertEquals(new LeaseReply(Code.OK, 77), renewed);
      assertEquals(new LeaseReply(Code.GONE, 77), over);
      assertEquals(new LeaseReply(Code.REFUSED, 77), failed);
      Fixtures.assertSame("state-leases.txt", server.requests());
    }
  }
}
