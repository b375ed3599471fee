package mallowstall.core;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import mallowstall.core.Model.RosterMachine;
import org.junit.jupiter.api.Test;

/** What follows from what owners tell of a machine. */
class ViewTest {
  private static View.Seen machine(double noticeS, boolean replace, List<String> images) {
    View.Seen seen = new View.Seen("m-000001");
    seen.owner = "n0";
    seen.state =
        new RosterMachine(
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
            List.of());
    return seen;
  }

  @Test
  void aMachineLeavesOnNoticeOrWhenItIsReplaced() {
    assertFalse(machine(-1, false, List.of()).leaves());
    assertTrue(machine(0, false, List.of()).leaves());
    assertTrue(machine(12, false, List.of()).leaves());
    assertTrue(machine(-1, true, List.of()).leaves());
    View.Seen nobodys = machine(12, false, List.of());
    nobodys.owner = null;
    assertFalse(nobodys.leaves(), "nobody could be asked to stop its replicas");
  }
}
