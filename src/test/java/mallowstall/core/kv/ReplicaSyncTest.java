package mallowstall.core.kv;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import mallowstall.Constants;
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

/** Tests that a state replica is complete after a listing in pages during which keys change. */
class ReplicaSyncTest {
  private static final String MACHINE = "m-000001";
  private static final String FORMER_GROUP = "c/g/9-1";
  private static final String NEW_GROUP = "c/g/3-7";

  private static final long RELISTED_AT_MS = 5_000;

  private final EventClock clock = new EventClock();
  private final List<Consumer<ListResult>> pendingLists = new ArrayList<>();
  private final List<String> requestedPages = new ArrayList<>();
  private final List<Consumer<WatchResult>> pendingWatches = new ArrayList<>();
  private final List<String> returnedMachines = new ArrayList<>();
  private final List<Long> syncedRevisions = new ArrayList<>();
  private StateReplica replica;
  private ReplicaSync sync;
  private boolean failNextChange;

  @BeforeEach
  void createReplica() {
    CoreSettings settings = CoreSettingsBuilder.settingsOf("n0").peers(List.of("n1")).build();
    replica = new StateReplica("c/n/n0", session -> {});
    replica.subscribe(
        new StateChangeListener() {
          @Override
          public void machineEntrySuperseded(String machine, MachineEntry entry) {}

          @Override
          public void machineReturned(String machine) {
            returnedMachines.add(machine);
          }

          @Override
          public void entryChanged(String key, StoredEntry before, StoredEntry after) {
            if (failNextChange) {
              failNextChange = false;
              throw new IllegalStateException("a listener fails");
            }
          }

          @Override
          public void replicaAdvanced() {}

          @Override
          public void replicaSynced(long revision) {
            syncedRevisions.add(revision);
          }
        });
    RequestQueue queue = new RequestQueue(clock, settings);
    sync =
        new ReplicaSync(
            clock, new StateRequests(clock, listAndWatchEffects(), queue, replica), replica);
  }

  /** Returns effects that keep the callbacks of list and watch requests and reject all others. */
  @SuppressWarnings("unchecked")
  private Effects listAndWatchEffects() {
    return (Effects)
        Proxy.newProxyInstance(
            Effects.class.getClassLoader(),
            new Class<?>[] {Effects.class},
            (proxy, method, arguments) -> {
              switch (method.getName()) {
                case "list" -> {
                  if (arguments[0] != null) {
                    requestedPages.add((String) arguments[0]);
                  }
                  pendingLists.add((Consumer<ListResult>) arguments[1]);
                }
                case "watch" -> pendingWatches.add((Consumer<WatchResult>) arguments[2]);
                default -> throw new UnsupportedOperationException(method.getName());
              }
              return null;
            });
  }

  /** Returns a group that holds another machine. */
  private static KeyValue otherGroup(String key, long revision) {
    MachineGroupMember other = new MachineGroupMember("m-000002", "t8", "a", false);
    return new KeyValue(key, new MachineGroupEntry("n1", 3, List.of(other)), revision);
  }

  private static KeyValue group(String key, String node, long revision) {
    List<MachineGroupMember> members = List.of(new MachineGroupMember(MACHINE, "t8", "a", false));
    return new KeyValue(key, new MachineGroupEntry(node, 3, members), revision);
  }

  private void answerList(List<KeyValue> items, boolean hasMore, long revision) {
    pendingLists.remove(0).accept(new ListResult(ResultCode.OK, items, hasMore, revision));
  }

  private void answerWatch(ResultCode code, List<KeyValue> events, long revision) {
    pendingWatches.remove(0).accept(new WatchResult(code, events, revision));
  }

  /** Syncs a replica that holds the machine in its former group, then lets its watch expire. */
  private void relistAfterExpiredWatch() {
    sync.start();
    answerList(List.of(group(FORMER_GROUP, "n1", 50)), false, 60);
    assertTrue(sync.synced());
    clock.advance(RELISTED_AT_MS, 0);
    answerWatch(ResultCode.EXPIRED, List.of(), 0);
    assertFalse(sync.synced());
  }

  /**
   * Guards against a machine in use that counts as returned: while groups are listed in pages, the
   * machine moves from a group on a later page to one that belongs on a page already read.
   */
  @Test
  void machineThatMovesToAlreadyListedGroupIsNotReturned() {
    relistAfterExpiredWatch();
    answerList(List.of(otherGroup("c/g/2-1", 40)), true, 100);
    // the machine moves to a group that belongs on the page just read; its former group is deleted
    answerList(List.of(), false, 103);
    assertEquals(List.of(), returnedMachines);
    assertEquals(0, sync.revision(), "changes made while the pages were read are still unknown");
    assertEquals(0, sync.freshAtMs(), "the replica is not known to be fresh again");
    answerWatch(
        ResultCode.OK,
        List.of(group(NEW_GROUP, "n2", 101), new KeyValue(FORMER_GROUP, null, 102)),
        103);
    assertEquals(103, sync.revision());
    assertEquals(RELISTED_AT_MS, sync.freshAtMs());
    assertEquals("n2", replica.machine(MACHINE).node());
    assertEquals(List.of(), returnedMachines);
    assertEquals(List.of(60L, 100L), syncedRevisions);
  }

  /** A machine that was returned while no watch ran is on no page and not among later changes. */
  @Test
  void machineReturnedWhileUnwatchedIsRemoved() {
    relistAfterExpiredWatch();
    answerList(List.of(otherGroup("c/g/2-1", 40)), true, 100);
    answerList(List.of(), false, 103);
    answerWatch(ResultCode.OK, List.of(), 103);
    assertNull(replica.machine(MACHINE));
    assertEquals(List.of(MACHINE), returnedMachines);
  }

  /**
   * The replica stays incomplete while its watch is rejected. It is listed again if the watch
   * expires before it has caught up.
   */
  @Test
  void replicaIsRelistedIfWatchExpiresBeforeCatchingUp() {
    relistAfterExpiredWatch();
    answerList(List.of(otherGroup("c/g/2-1", 40)), true, 100);
    answerList(List.of(), false, 103);
    answerWatch(ResultCode.EXPIRED, List.of(), 0);
    assertFalse(sync.synced());
    assertEquals(1, pendingLists.size(), "relisted");
    answerList(List.of(otherGroup("c/g/2-1", 40), group(NEW_GROUP, "n2", 101)), false, 110);
    assertTrue(sync.synced());
    assertEquals("n2", replica.machine(MACHINE).node());
    assertEquals(List.of(), returnedMachines);
  }

  /**
   * Guards against a missed return of a machine: the replica already holds a late registration with
   * a higher revision when the deletion of the machine's entry arrives.
   */
  @Test
  void machineReturnIsNotifiedAlthoughLaterEntryIsKnown() {
    sync.start();
    answerList(List.of(), false, 60);
    replica.apply(group(NEW_GROUP, "n0", 80));
    answerWatch(ResultCode.OK, List.of(new KeyValue("c/m/" + MACHINE, null, 70)), 70);
    assertEquals(List.of(MACHINE), returnedMachines);
    assertEquals("n0", replica.machine(MACHINE).node());
  }

  /** Guards against a replica that counts as complete while a long response is still arriving. */
  @Test
  void replicaIsCompleteOnlyAfterTheLastPartOfALongResponse() {
    sync.start();
    answerList(List.of(), false, 60);
    receivePart(List.of(group(NEW_GROUP, "n0", 70)));
    assertEquals("n0", replica.machine(MACHINE).node());
    assertEquals(60, sync.revision());
    answerWatch(ResultCode.OK, List.of(group(NEW_GROUP, "n2", 71)), 75);
    assertEquals("n2", replica.machine(MACHINE).node());
    assertEquals(75, sync.revision());
  }

  /** Guards against a watch whose long response is cut off again and again, without an end. */
  @Test
  void keysAreListedAgainAfterThreeResponsesCutOff() {
    sync.start();
    answerList(List.of(), false, 60);
    for (int i = 1; i <= 3; i++) {
      assertTrue(sync.synced());
      receivePart(List.of(group(NEW_GROUP, "n0", 70)));
      answerWatch(ResultCode.OUTCOME_UNKNOWN, List.of(), 0);
      passRetryPause();
    }
    assertFalse(sync.synced());
    answerList(List.of(group(NEW_GROUP, "n2", 80)), false, 90);
    answerWatch(ResultCode.OK, List.of(), 90);
    assertEquals("n2", replica.machine(MACHINE).node());
    assertEquals(90, sync.revision());
  }

  /** Guards against listings of all keys after plain failures, as in an outage. */
  @Test
  void watchIsRepeatedAfterFailuresWithoutAResponse() {
    sync.start();
    answerList(List.of(), false, 60);
    for (int i = 1; i <= 20; i++) {
      answerWatch(i % 2 == 0 ? ResultCode.REJECTED : ResultCode.OUTCOME_UNKNOWN, List.of(), 0);
      passRetryPause();
      assertTrue(sync.synced());
    }
  }

  /** Guards against a watch that is repeated without end although its response is unreadable. */
  @Test
  void keysAreListedAgainAfterAnUnreadableResponse() {
    sync.start();
    answerList(List.of(), false, 60);
    answerWatch(ResultCode.INVALID, List.of(), 0);
    passRetryPause();
    assertEquals(0, sync.revision());
    answerList(List.of(group(NEW_GROUP, "n2", 80)), false, 90);
    answerWatch(ResultCode.OK, List.of(), 90);
    assertEquals(90, sync.revision());
  }

  /** Guards against a replica that is never updated again after an error in an event. */
  @Test
  void keysAreListedAgainAfterAnErrorWhileChangesAreApplied() {
    sync.start();
    failNextChange = true;
    assertThrows(
        IllegalStateException.class,
        () -> answerList(List.of(group(FORMER_GROUP, "n1", 50)), false, 60));
    passRetryPause();
    answerList(List.of(group(FORMER_GROUP, "n1", 50)), false, 60);
    failNextChange = true;
    List<KeyValue> changes =
        List.of(new KeyValue(FORMER_GROUP, null, 70), group(NEW_GROUP, "n2", 71));
    assertThrows(IllegalStateException.class, () -> answerWatch(ResultCode.OK, changes, 75));
    assertEquals(0, sync.revision(), "the replica may lack changes");
    passRetryPause();
    answerList(List.of(group(NEW_GROUP, "n2", 71)), false, 80);
    answerWatch(ResultCode.OK, List.of(), 80);
    assertEquals(80, sync.revision());
    assertEquals("n2", replica.machine(MACHINE).node());
    assertNull(replica.entry(FORMER_GROUP));
  }

  /** Guards against a listing that ends at, or repeats, a page without a readable entry. */
  @Test
  void listingGoesOnAfterAPageWithoutAReadableEntry() {
    sync.start();
    pendingLists.remove(0).accept(new ListResult(ResultCode.OK, List.of(), true, 60, "c/a/1"));
    assertEquals(List.of("c/a/1"), requestedPages);
    pendingLists.remove(0).accept(new ListResult(ResultCode.OK, List.of(), true, 60, "c/a/2"));
    assertEquals(List.of("c/a/1", "c/a/2"), requestedPages);
    answerList(List.of(group(NEW_GROUP, "n2", 50)), false, 60);
    assertEquals("n2", replica.machine(MACHINE).node());
    assertEquals(60, sync.revision());
  }

  private void receivePart(List<KeyValue> events) {
    pendingWatches.get(0).accept(new WatchResult(ResultCode.PARTIAL, events, 0));
  }

  private void passRetryPause() {
    clock.advance(clock.now() + Constants.STATE_RETRY_MS, 0);
    clock.runDue();
  }
}
