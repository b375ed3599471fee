package mallowstall.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import mallowstall.core.Model.DigestRec;
import mallowstall.core.Model.GroupMachine;
import mallowstall.core.Model.GroupRec;
import mallowstall.core.Model.Room;
import org.junit.jupiter.api.Test;

/** Lists are cut by the size of the encoded value, whatever the names in them. */
class ValueSizeTest {
  private static final int LIMIT = 2_048;

  private static List<Room> rooms(int count, int nameLength) {
    List<Room> out = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      String name = "m".repeat(nameLength - 6) + String.format("%06d", i);
      out.add(new Room(name, 12.300000000000001, 0.30000000000000004, 119.19999999999999));
    }
    return out;
  }

  @Test
  void aDigestFitsAndLeavesNoRoomForTwiceAsMany() {
    for (int nameLength : new int[] {8, 40, 200}) {
      List<Room> all = rooms(200, nameLength);
      List<Room> some =
          ValueSize.fitting(
              all, r -> Simulation.size(new DigestRec(Long.MAX_VALUE, r, 1e17)), LIMIT);
      int bytes = Simulation.size(new DigestRec(Long.MAX_VALUE, some, 1e17));
      assertTrue(bytes <= LIMIT, "bytes: " + bytes);
      assertTrue(bytes > LIMIT / 2, "bytes: " + bytes);
      assertEquals(all.subList(0, some.size()), some);
    }
  }

  @Test
  void aGroupFitsWhateverItsNames() {
    for (int nameLength : new int[] {8, 40, 200}) {
      String name = "t".repeat(nameLength);
      List<GroupMachine> all = new ArrayList<>();
      for (Room room : rooms(100, nameLength)) {
        all.add(new GroupMachine(room.machine(), name, name, false));
      }
      List<GroupMachine> some =
          ValueSize.fitting(
              all, g -> Simulation.size(new GroupRec(name, Long.MAX_VALUE, g)), LIMIT);
      int bytes = Simulation.size(new GroupRec(name, Long.MAX_VALUE, some));
      assertTrue(bytes <= LIMIT, "bytes: " + bytes);
      assertTrue(bytes > LIMIT / 2, "bytes: " + bytes);
    }
  }

  @Test
  void whatFitsIsLeftWhole() {
    List<Room> all = rooms(3, 8);
    assertEquals(all, ValueSize.fitting(all, r -> Simulation.size(new DigestRec(1, r, 0)), LIMIT));
  }
}
