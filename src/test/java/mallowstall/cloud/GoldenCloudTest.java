package mallowstall.cloud;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.List;
import mallowstall.Fixtures;
import mallowstall.LoopbackServer;
import mallowstall.core.kernel.InventoryPage;
import mallowstall.core.kernel.ScaleOutResult;
import mallowstall.core.model.ListedMachine;
import mallowstall.core.model.MachineType;
import mallowstall.core.model.ScaleOutRequest;
import org.junit.jupiter.api.Test;

/** The exact requests to the cloud, and what its answers mean. */
class GoldenCloudTest {
  private static final ScaleOutRequest RENTAL = new ScaleOutRequest("n1-7-3", "g8", "a", true, 12);
  private static final InventoryPage NOT_LISTED = new InventoryPage(false, List.of(), false);

  @Test
  void requestsAreSentAsEverAndAnswersUnderstood() throws Exception {
    try (LoopbackServer server = new LoopbackServer()) {
      CloudClient cloud = new CloudClient(server.client(), Runnable::run);

      List<MachineType> types =
          server.answer(200, Fixtures.text("cloud-types.json"), cloud::fetchMachineTypes);
      List<MachineType> noTypes = server.answer(503, "{}", cloud::fetchMachineTypes);
      InventoryPage page =
          server.answer(
              200, Fixtures.text("cloud-page.json"), then -> cloud.listMachines(null, then));
      InventoryPage last =
          server.answer(200, "{\"sierras\":[]}", then -> cloud.listMachines("m-000002", then));
      InventoryPage failed = server.answer(500, "{}", then -> cloud.listMachines("m-000002", then));
      InventoryPage cut = server.answer(200, "{\"sie", then -> cloud.listMachines(null, then));

      assertEquals(
          List.of(
              new MachineType("g8", 32, 8, 256, 400, 1.5, 12.25, 4.5, 90, List.of("a", "b")),
              new MachineType("t16", 16, 0, 64, 100, 0.5, 1, 0, 30, List.of())),
          types);
      assertNull(noTypes);
      assertEquals(
          new InventoryPage(
              true,
              List.of(
                  new ListedMachine("m-000001", "g8", "a", true, "up", 12.5),
                  new ListedMachine("m-000002", "t16", "b", false, "", 0)),
              true),
          page);
      assertEquals(new InventoryPage(true, List.of(), false), last);
      assertEquals(NOT_LISTED, failed);
      assertEquals(NOT_LISTED, cut);
      Fixtures.assertSame("cloud-reading.txt", server.requests());
    }
  }

  @Test
  void rentalsAndReturnsAreSentAsEver() throws Exception {
    try (LoopbackServer server = new LoopbackServer()) {
      CloudClient cloud = new CloudClient(server.client(), Runnable::run);

      ScaleOutResult rented =
          server.answer(
              200, "{\"sierras\":[\"m-1\",\"m-2\"]}", then -> cloud.scaleOut(RENTAL, then));
      ScaleOutResult unread = server.answer(200, "no JSON", then -> cloud.scaleOut(RENTAL, then));
      ScaleOutResult refused =
          server.answer(429, "{\"error\":\"x\"}", then -> cloud.scaleOut(RENTAL, then));
      List<String> machines = List.of("m-1", "m-2");
      boolean returned = server.<Boolean>answer(200, "{}", then -> cloud.scaleIn(machines, then));
      boolean kept = server.<Boolean>answer(503, "{}", then -> cloud.scaleIn(List.of("m-3"), then));

      assertEquals(new ScaleOutResult(200, machines), rented);
      assertEquals(new ScaleOutResult(0, List.of()), unread);
      assertEquals(new ScaleOutResult(429, List.of()), refused);
      assertEquals(true, returned);
      assertEquals(false, kept);
      Fixtures.assertSame("cloud-rentals.txt", server.requests());
    }
  }
}
