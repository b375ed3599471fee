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

/** Checks the exact requests to the cloud and how its responses are read. */
class GoldenCloudTest {
  private static final ScaleOutRequest SCALE_OUT =
      new ScaleOutRequest("n1-7-3", "g8", "a", true, 12);
  private static final InventoryPage FAILED_PAGE = new InventoryPage(false, List.of(), false);

  @Test
  void readRequestsMatchGoldenFileAndResponsesAreParsed() throws Exception {
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
      InventoryPage truncated =
          server.answer(200, "{\"sie", then -> cloud.listMachines(null, then));

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
      assertEquals(FAILED_PAGE, failed);
      assertEquals(FAILED_PAGE, truncated);
      Fixtures.assertMatchesFixture("cloud-reading.txt", server.requests());
    }
  }

  @Test
  void scaleOutAndScaleInRequestsMatchGoldenFile() throws Exception {
    try (LoopbackServer server = new LoopbackServer()) {
      CloudClient cloud = new CloudClient(server.client(), Runnable::run);

      ScaleOutResult accepted =
          server.answer(
              200, "{\"sierras\":[\"m-1\",\"m-2\"]}", then -> cloud.scaleOut(SCALE_OUT, then));
      ScaleOutResult unreadable =
          server.answer(200, "no JSON", then -> cloud.scaleOut(SCALE_OUT, then));
      ScaleOutResult rejected =
          server.answer(429, "{\"error\":\"x\"}", then -> cloud.scaleOut(SCALE_OUT, then));
      List<String> machines = List.of("m-1", "m-2");
      boolean returned = server.<Boolean>answer(200, "{}", then -> cloud.scaleIn(machines, then));
      boolean kept = server.<Boolean>answer(503, "{}", then -> cloud.scaleIn(List.of("m-3"), then));

      assertEquals(new ScaleOutResult(200, machines), accepted);
      assertEquals(new ScaleOutResult(0, List.of()), unreadable);
      assertEquals(new ScaleOutResult(429, List.of()), rejected);
      assertEquals(true, returned);
      assertEquals(false, kept);
      Fixtures.assertMatchesFixture("cloud-rentals.txt", server.requests());
    }
  }
}
