package mallowstall.core;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import mallowstall.core.cluster.MachineView;
import mallowstall.core.model.MachineStatus;
import org.junit.jupiter.api.Test;

/** What follows from what machine leaders publish of a machine. */
class MachineViewTest {
  private static MachineView machineView(double noticeS, boolean replace, List<String> images) {
    MachineView machineView = new MachineView("m-000001");
    machineView.applyStatus(
        "n0",
        1,
        new MachineStatus(
            "m-000001",
            "a:1",
            1,
            1,
            1,
            1,
            true,
            true,
            false,
            replace,
            false,
            false,
            "t8",
            "a",
            false,
            noticeS,
            8,
            0,
            32,
            0,
            images,
            List.of()),
        0);
    return machineView;
  }

  @Test
  void machineLeavesOnNoticeOrReplacement() {
    assertFalse(machineView(-1, false, List.of()).isDeparting());
    assertTrue(machineView(0, false, List.of()).isDeparting());
    assertTrue(machineView(12, false, List.of()).isDeparting());
    assertTrue(machineView(-1, true, List.of()).isDeparting());
    MachineView nobodys = machineView(12, false, List.of());
    nobodys.clearLeader();
    assertFalse(nobodys.isDeparting(), "nobody could be asked to stop its replicas");
  }
}
