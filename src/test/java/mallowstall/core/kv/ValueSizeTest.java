package mallowstall.core.kv;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import mallowstall.core.model.DigestEntry;
import mallowstall.core.model.FreeCapacity;
import mallowstall.core.model.MachineGroupEntry;
import mallowstall.core.model.MachineGroupMember;
import mallowstall.core.model.StoredEntry;
import mallowstall.state.StoredEntries;
import org.junit.jupiter.api.Test;

/**
 * Tests that lists are cut to fit the maximum size of an encoded value, for names of any length.
 */
class ValueSizeTest {
  private static final int LIMIT_BYTES = 2_048;

  private static int encodedSize(StoredEntry value) {
    return StoredEntries.encode(value).length;
  }

  private static List<FreeCapacity> capacities(int count, int nameLength) {
    List<FreeCapacity> out = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      String name = "m".repeat(nameLength - 6) + String.format("%06d", i);
      out.add(new FreeCapacity(name, 12.3, 0.30000000000000004, 119.19999999999999));
    }
    return out;
  }

  @Test
  void digestFillsAtLeastHalfTheLimit() {
    for (int nameLength : new int[] {8, 40, 200}) {
      List<FreeCapacity> all = capacities(200, nameLength);
      List<FreeCapacity> prefix =
          ValueSize.longestFittingPrefix(
              all, r -> encodedSize(new DigestEntry(Long.MAX_VALUE, r, 1e17)), LIMIT_BYTES);
      int bytes = encodedSize(new DigestEntry(Long.MAX_VALUE, prefix, 1e17));
      assertTrue(bytes <= LIMIT_BYTES, "bytes: " + bytes);
      assertTrue(bytes > LIMIT_BYTES / 2, "bytes: " + bytes);
      assertEquals(all.subList(0, prefix.size()), prefix);
    }
  }

  @Test
  void machineGroupFitsForNamesOfAnyLength() {
    for (int nameLength : new int[] {8, 40, 200}) {
      String name = "t".repeat(nameLength);
      List<MachineGroupMember> all = new ArrayList<>();
      for (FreeCapacity capacity : capacities(100, nameLength)) {
        all.add(new MachineGroupMember(capacity.machine(), name, name, false));
      }
      List<MachineGroupMember> prefix =
          ValueSize.longestFittingPrefix(
              all, g -> encodedSize(new MachineGroupEntry(name, Long.MAX_VALUE, g)), LIMIT_BYTES);
      int bytes = encodedSize(new MachineGroupEntry(name, Long.MAX_VALUE, prefix));
      assertTrue(bytes <= LIMIT_BYTES, "bytes: " + bytes);
      assertTrue(bytes > LIMIT_BYTES / 2, "bytes: " + bytes);
    }
  }

  @Test
  void listThatFitsIsNotCut() {
    List<FreeCapacity> all = capacities(3, 8);
    assertEquals(
        all,
        ValueSize.longestFittingPrefix(
            all, r -> encodedSize(new DigestEntry(1, r, 0)), LIMIT_BYTES));
  }
}
