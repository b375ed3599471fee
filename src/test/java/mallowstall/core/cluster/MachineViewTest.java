package mallowstall.core.cluster;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import mallowstall.core.model.MachineStatusBuilder;
import org.junit.jupiter.api.Test;

/** Tests what a controller derives from the published status of a machine. */
class MachineViewTest {
  private static MachineView machineView(double interruptionNoticeS, boolean needsReplacement) {
    MachineView machineView = new MachineView("m-000001");
    machineView.applyStatus(
        "n0",
        1,
        MachineStatusBuilder.statusOf("m-000001")
            .interruptionNoticeS(interruptionNoticeS)
            .needsReplacement(needsReplacement)
            .build(),
        0);
    return machineView;
  }

  @Test
  void machineIsDepartingOnNoticeOrPendingReplacement() {
    assertFalse(machineView(-1, false).isDeparting());
    assertTrue(machineView(0, false).isDeparting());
    assertTrue(machineView(12, false).isDeparting());
    assertTrue(machineView(-1, true).isDeparting());
    MachineView withoutLeader = machineView(12, false);
    withoutLeader.clearLeader();
    assertFalse(withoutLeader.isDeparting(), "no machine leader could stop its replicas");
  }
}
