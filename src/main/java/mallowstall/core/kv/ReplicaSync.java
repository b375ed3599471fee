package mallowstall.core.kv;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import mallowstall.Constants;
import mallowstall.core.kernel.EventClock;
import mallowstall.core.kernel.KeyValue;
import mallowstall.core.kernel.ListResult;
import mallowstall.core.kernel.ResultCode;
import mallowstall.core.kernel.WatchResult;
import mallowstall.core.model.MachineGroupEntry;
import mallowstall.core.model.MachineGroupMember;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Synchronizes the state replica with the state service. It lists all keys once and then watches
 * for changes. It lists all keys again if the watch can't go on: the state service has compacted
 * its revision, its response is unreadable or was cut off several times in a row, or a change could
 * not be applied.
 */
final class ReplicaSync {
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.state");

  /**
   * Pause between two watches, in milliseconds. It keeps a burst of changes from using up the
   * request budget.
   */
  private static final long WATCH_PAUSE_MS = 60;

  /** The number of long responses in a row that may be cut off before all keys are listed again. */
  private static final int WATCHES_CUT_OFF_MAX = 3;

  private final EventClock clock;
  private final StateRequests requests;
  private final StateReplica replica;
  private long revision;
  private boolean synced;
  private boolean listing;

  /** The number of the latest watch. The results of earlier ones are ignored. */
  private long watchNumber;

  /** Whether part of the response to the latest watch has arrived. */
  private boolean partReceived;

  private int watchesCutOff;

  /**
   * The listing whose pages have all been read, until the watch has reached the revision of its
   * last page; otherwise null.
   */
  private Listing unfinishedListing;

  private long freshAtMs = Long.MIN_VALUE / 2;

  /** A listing of all keys, whose pages may have different revisions. */
  private static final class Listing {
    private final long startedMs;
    private final Set<String> keys = new HashSet<>();

    /** The last key read so far; null before the first page. */
    private String lastKey;

    /** The revision of the first page, up to which the listing is complete. */
    private long revision;

    /** The revision of the last page. The watch returns the changes since the first page. */
    private long lastPageRevision;

    Listing(long startedMs) {
      this.startedMs = startedMs;
    }
  }

  /** Creates the synchronization of a replica, which isn't synced before {@link #start}. */
  ReplicaSync(EventClock clock, StateRequests requests, StateReplica replica) {
    this.clock = clock;
    this.requests = requests;
    this.replica = replica;
  }

  /** Returns the revision up to which the replica is complete, or 0 if it isn't complete. */
  long revision() {
    return synced && unfinishedListing == null ? revision : 0;
  }

  /**
   * Returns whether all keys have been listed and are being watched. The replica is complete only
   * when {@link #revision} isn't 0.
   */
  boolean synced() {
    return synced;
  }

  /** Returns the steady time in milliseconds up to which the replica holds every change. */
  long freshAtMs() {
    return freshAtMs;
  }

  /** Starts a listing of all keys, unless the replica is synced or a listing is in progress. */
  void start() {
    if (synced || listing) {
      return;
    }
    listing = true;
    listNextPage(new Listing(clock.now()));
  }

  private void listNextPage(Listing current) {
    requests.list(current.lastKey, page -> applyPage(current, page));
  }

  private void applyPage(Listing current, ListResult page) {
    if (page.code() != ResultCode.OK) {
      clock.schedule(Constants.STATE_RETRY_MS, () -> listNextPage(current));
      return;
    }
    runOrListAgain(() -> applyItems(current, page));
    if (page.hasMore() && page.lastKey() != null) {
      listNextPage(current);
    } else {
      completePages(current);
    }
  }

  private void applyItems(Listing current, ListResult page) {
    if (current.lastKey == null) {
      current.revision = page.revision();
    }
    if (page.lastKey() != null) {
      current.lastKey = page.lastKey();
    }
    for (KeyValue item : page.items()) {
      replica.apply(item);
      current.keys.add(item.key());
      if (item.value() instanceof MachineGroupEntry group) {
        for (MachineGroupMember member : group.machines()) {
          current.keys.add(StateKeys.machine(member.id()));
        }
      }
    }
    current.lastPageRevision = page.revision();
  }

  private void completePages(Listing current) {
    listing = false;
    unfinishedListing = current;
    revision = current.revision;
    synced = true;
    runOrListAgain(
        () -> {
          finishListing();
          replica.notifySynced(revision);
        });
    watchNext();
  }

  /**
   * Runs an action that changes the replica. If it throws, the replica may lack changes, so all
   * keys are listed again, and the exception is passed on.
   */
  private void runOrListAgain(Runnable action) {
    boolean done = false;
    try {
      action.run();
      done = true;
    } finally {
      if (!done) {
        listAgain();
      }
    }
  }

  /** Lists all keys again after a pause. The replica isn't complete until then. */
  private void listAgain() {
    LOG.info("state replica lists all keys again revision={}", revision);
    watchNumber++;
    synced = false;
    listing = false;
    unfinishedListing = null;
    watchesCutOff = 0;
    clock.schedule(Constants.STATE_RETRY_MS, this::start);
  }

  /**
   * Completes the listing once the replica holds all changes made while the pages were read. Before
   * that, a key that is on no page must not be treated as deleted. The key may have moved from a
   * later page to one that had already been read, which happens when a machine joins another group.
   * A running machine would then be treated as returned.
   */
  private void finishListing() {
    Listing listed = unfinishedListing;
    if (listed == null || revision < listed.lastPageRevision) {
      return;
    }
    unfinishedListing = null;
    // These keys were deleted while no watch was active.
    replica.deleteUnlisted(listed.keys, listed.revision);
    freshAtMs = Math.max(freshAtMs, listed.startedMs);
  }

  private void watchNext() {
    long number = ++watchNumber;
    long sentMs = clock.now();
    partReceived = false;
    requests.watch(
        revision,
        result -> {
          if (number == watchNumber) {
            receive(result, sentMs);
          }
        });
  }

  private void receive(WatchResult result, long sentMs) {
    switch (result.code()) {
      case PARTIAL -> {
        partReceived = true;
        runOrListAgain(() -> applyAll(result.events()));
      }
      case OK -> applyLastEvents(result, sentMs);
      case EXPIRED -> {
        synced = false;
        unfinishedListing = null;
        start();
      }
      case INVALID -> listAgain();
      default -> retryWatch();
    }
  }

  private void retryWatch() {
    watchesCutOff = partReceived ? watchesCutOff + 1 : 0;
    if (watchesCutOff >= WATCHES_CUT_OFF_MAX) {
      listAgain();
    } else {
      clock.schedule(Constants.STATE_RETRY_MS, this::watchNext);
    }
  }

  private void applyAll(List<KeyValue> changes) {
    for (KeyValue change : changes) {
      replica.apply(change);
    }
  }

  private void applyLastEvents(WatchResult result, long sentMs) {
    watchesCutOff = 0;
    runOrListAgain(
        () -> {
          applyAll(result.events());
          revision = Math.max(revision, result.revision());
          finishListing();
          if (unfinishedListing == null) {
            freshAtMs = Math.max(freshAtMs, sentMs);
          }
          replica.notifyAdvanced();
        });
    clock.schedule(WATCH_PAUSE_MS, this::watchNext);
  }
}
