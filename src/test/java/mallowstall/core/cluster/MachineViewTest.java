package mallowstall.core.cluster;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import mallowstall.core.model.MachineStatusBuilder;
import org.junit.jupiter.api.Test;

/** What follows from the published status of a machine. */
class MachineViewTest {
  private static MachineView machineView(double noticeS, boolean replace) {
    MachineView machineView = new MachineView("m-000001");
    machineView.applyStatus(
        "n0",
        1,
        MachineStatusBuilder.statusOf("m-000001")
            .interruptionNoticeS(noticeS)
            .needsReplacement(replace)
            .build(),
        0);
    return machineView;
  }

  @Test
  void machineLeavesOnNoticeOrReplacement() {
    assertFalse(machineView(-1, false).isDeparting());
    assertTrue(machineView(0, false).isDeparting());
    assertTrue(machineView(12, false).isDeparting());
    assertTrue(machineView(-1, true).isDeparting());
    MachineView withoutLeader = machineView(12, false);
    withoutLeader.clearLeader();
    assertFalse(withoutLeader.isDeparting(), "nobody could be asked to stop its replicas");
  }
}
