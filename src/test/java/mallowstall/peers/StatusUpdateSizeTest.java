package mallowstall.peers;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import mallowstall.Constants;
import mallowstall.core.model.MachineStatus;
import mallowstall.core.model.StatusUpdate;
import mallowstall.core.model.TaskState;
import mallowstall.core.model.TaskStatus;
import org.junit.jupiter.api.Test;

/**
 * Guards against full status updates that no peer can receive. An update that is larger than a
 * frame closes the connection, and the next full update is as large (docs/capacity.md).
 */
class StatusUpdateSizeTest {
  /** One controller leads all machines of a large fleet, as after all other controllers ended. */
  private static final int MACHINES = 4_000;

  private static final int TASKS_PER_MACHINE = 32;

  private static MachineStatus machine(int number) {
    List<TaskStatus> tasks = new ArrayList<>();
    for (int i = 0; i < TASKS_PER_MACHINE; i++) {
      long attempt = (40L << Constants.ATTEMPT_BITS) + number;
      tasks.add(new TaskStatus("wk-000412", 90_000 + i, attempt, TaskState.RUNNING, null));
    }
    return new MachineStatus(
        String.format("m-%06d", number),
        "10.1.10.232:9000",
        900_000,
        900_000,
        12,
        9_000,
        true,
        true,
        false,
        false,
        false,
        false,
        "kocsi16",
        "pest",
        true,
        -1,
        4.5,
        1,
        12.25,
        900,
        List.of("img-07", "img-08", "img-09", "img-10"),
        tasks);
  }

  @Test
  void fullStatusUpdateOfLargestFleetFitsInFrame() {
    List<MachineStatus> machines = new ArrayList<>();
    for (int i = 0; i < MACHINES; i++) {
      machines.add(machine(i));
    }
    StatusUpdate update =
        new StatusUpdate(
            "tocon-0", 90, 9_000, 0, 90, 9_000, 900_000, 90, 12, 9_000, 40, List.of(), machines,
            List.of(), List.of());
    int bytes = PeerCodec.encode(update).length;
    assertTrue(bytes < PeerConnections.PEER_FRAME_MAX_BYTES, bytes + " bytes");
  }
}
