package mallowstall.core.kv;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import mallowstall.core.kernel.Effects;
import mallowstall.core.kernel.EventClock;
import mallowstall.core.kernel.KeyValue;
import mallowstall.core.kernel.ListResult;
import mallowstall.core.kernel.ResultCode;
import mallowstall.core.kernel.WatchResult;
import mallowstall.core.model.CoreSettings;
import mallowstall.core.model.CoreSettingsBuilder;
import mallowstall.core.model.MachineEntry;
import mallowstall.core.model.MachineGroupEntry;
import mallowstall.core.model.MachineGroupMember;
import mallowstall.core.model.StoredEntry;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The replica is listed in pages while keys change, and then watched. */
class ReplicaSyncTest {
  private static final String MACHINE = "m-000001";
  private static final String FORMER_GROUP = "c/g/9-1";
  private static final String NEW_GROUP = "c/g/3-7";

  private static final long RELISTED_AT_MS = 5_000;

  private final EventClock clock = new EventClock();
  private final List<Consumer<ListResult>> lists = new ArrayList<>();
  private final List<Consumer<WatchResult>> watches = new ArrayList<>();
  private final List<String> returned = new ArrayList<>();
  private final List<Long> syncedAt = new ArrayList<>();
  private StateReplica replica;
  private ReplicaSync sync;

  @BeforeEach
  void listenToReplica() {
    CoreSettings settings = CoreSettingsBuilder.settingsOf("n0").peers(List.of("n1")).build();
    replica = new StateReplica("c/n/n0", session -> {});
    replica.subscribe(
        new StateChangeListener() {
          @Override
          public void machineEntrySuperseded(String machine, MachineEntry entry) {}

          @Override
          public void machineReturned(String machine) {
            returned.add(machine);
          }

          @Override
          public void entryChanged(String key, StoredEntry before, StoredEntry after) {}

          @Override
          public void advanced() {}

          @Override
          public void replicaSynced(long revision) {
            syncedAt.add(revision);
          }
        });
    RequestQueue queue = new RequestQueue(clock, settings);
    sync =
        new ReplicaSync(
            clock, new StateRequests(clock, listsAndWatches(), queue, replica), replica);
  }

  /** Keeps the callbacks of listings and watches; nothing else is asked for. */
  @SuppressWarnings("unchecked")
  private Effects listsAndWatches() {
    return (Effects)
        Proxy.newProxyInstance(
            Effects.class.getClassLoader(),
            new Class<?>[] {Effects.class},
            (proxy, method, arguments) -> {
              switch (method.getName()) {
                case "list" -> lists.add((Consumer<ListResult>) arguments[1]);
                case "watch" -> watches.add((Consumer<WatchResult>) arguments[2]);
                default -> throw new UnsupportedOperationException(method.getName());
              }
              return null;
            });
  }

  /** A group of another machine. */
  private static KeyValue otherGroup(String key, long revision) {
    MachineGroupMember other = new MachineGroupMember("m-000002", "t8", "a", false);
    return new KeyValue(key, new MachineGroupEntry("n1", 3, List.of(other)), revision);
  }

  private static KeyValue group(String key, String node, long revision) {
    List<MachineGroupMember> members = List.of(new MachineGroupMember(MACHINE, "t8", "a", false));
    return new KeyValue(key, new MachineGroupEntry(node, 3, members), revision);
  }

  private void page(List<KeyValue> items, boolean hasMore, long revision) {
    lists.remove(0).accept(new ListResult(ResultCode.OK, items, hasMore, revision));
  }

  private void watchAnswer(ResultCode code, List<KeyValue> events, long revision) {
    watches.remove(0).accept(new WatchResult(code, events, revision));
  }

  /** The replica holds the machine by its former group, and its watch has had a gap. */
  private void listAnewAfterGap() {
    sync.start();
    page(List.of(group(FORMER_GROUP, "n1", 50)), false, 60);
    assertTrue(sync.synced());
    clock.advance(RELISTED_AT_MS, 0);
    watchAnswer(ResultCode.EXPIRED, List.of(), 0);
    assertFalse(sync.synced());
  }

  /** Guards against a living machine that counts as returned while groups are listed in pages. */
  @Test
  void machineThatTurnsToAnEarlierListedGroupIsNotReturned() {
    listAnewAfterGap();
    page(List.of(otherGroup("c/g/2-1", 40)), true, 100);
    // the machine turns to a group that belongs on the page just read; its former group goes
    page(List.of(), false, 103);
    assertEquals(List.of(), returned);
    assertEquals(0, sync.revision(), "what changed while the pages were read isn't known yet");
    assertEquals(0, sync.freshAtMs(), "nor is the replica known to be fresh");
    watchAnswer(
        ResultCode.OK,
        List.of(group(NEW_GROUP, "n2", 101), new KeyValue(FORMER_GROUP, null, 102)),
        103);
    assertEquals(103, sync.revision());
    assertEquals(RELISTED_AT_MS, sync.freshAtMs());
    assertEquals("n2", replica.machine(MACHINE).node());
    assertEquals(List.of(), returned);
    assertEquals(List.of(60L, 100L), syncedAt);
  }

  /** A machine that was returned while no watch ran is on no page, and nothing brings it back. */
  @Test
  void machineReturnedDuringTheGapIsRemoved() {
    listAnewAfterGap();
    page(List.of(otherGroup("c/g/2-1", 40)), true, 100);
    page(List.of(), false, 103);
    watchAnswer(ResultCode.OK, List.of(), 103);
    assertNull(replica.machine(MACHINE));
    assertEquals(List.of(MACHINE), returned);
  }

  /** A watch that is refused leaves the replica incomplete; one that expired lists once more. */
  @Test
  void replicaStaysIncompleteUntilTheWatchHasCaughtUp() {
    listAnewAfterGap();
    page(List.of(otherGroup("c/g/2-1", 40)), true, 100);
    page(List.of(), false, 103);
    watchAnswer(ResultCode.EXPIRED, List.of(), 0);
    assertFalse(sync.synced());
    assertEquals(1, lists.size(), "listed once more");
    page(List.of(otherGroup("c/g/2-1", 40), group(NEW_GROUP, "n2", 101)), false, 110);
    assertTrue(sync.synced());
    assertEquals("n2", replica.machine(MACHINE).node());
    assertEquals(List.of(), returned);
  }

  /** Guards against a return that is not heard of since a late registration is known already. */
  @Test
  void returnIsHeardOfAlthoughALaterEntryIsKnown() {
    sync.start();
    page(List.of(), false, 60);
    replica.apply(group(NEW_GROUP, "n0", 80));
    watchAnswer(ResultCode.OK, List.of(new KeyValue("c/m/" + MACHINE, null, 70)), 70);
    assertEquals(List.of(MACHINE), returned);
    assertEquals("n0", replica.machine(MACHINE).node());
  }
}
