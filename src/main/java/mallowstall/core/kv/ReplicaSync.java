package mallowstall.core.kv;

import java.util.HashSet;
import java.util.Set;
import mallowstall.Constants;
import mallowstall.core.kernel.EventClock;
import mallowstall.core.kernel.KeyValue;
import mallowstall.core.kernel.ListResult;
import mallowstall.core.kernel.ResultCode;
import mallowstall.core.kernel.WatchResult;
import mallowstall.core.model.MachineGroupEntry;
import mallowstall.core.model.MachineGroupMember;

/**
 * Keeps the replica in step with the state service: lists all keys once, then watches for changes;
 * lists again if the watch's revision has been compacted away.
 */
final class ReplicaSync {
  /** ms. Pause between watches, so that a burst of changes doesn't spend the request budget. */
  private static final long WATCH_PAUSE_MS = 60;

  private final EventClock clock;
  private final StateRequests requests;
  private final StateReplica replica;
  private long revision;
  private boolean synced;
  private boolean listing;

  /** A listing whose pages are read, until the watch has passed the last of them; else null. */
  private Listing unfinishedListing;

  private long freshAtMs = Long.MIN_VALUE / 2;

  /** A listing in progress. */
  private static final class Listing {
    private final long startedMs;
    private final Set<String> keys = new HashSet<>();

    /** The last key read so far; null before the first page. */
    private String lastKey;

    /** The revision of the first page, up to which the listing is complete. */
    private long revision;

    /** The revision of the last page; the watch tells what has changed since the first. */
    private long lastPageRevision;

    Listing(long startedMs) {
      this.startedMs = startedMs;
    }
  }

  /** A replica that isn't synced before {@link #start}. */
  ReplicaSync(EventClock clock, StateRequests requests, StateReplica replica) {
    this.clock = clock;
    this.requests = requests;
    this.replica = replica;
  }

  /** The revision up to which the replica is complete; 0: it isn't. */
  long revision() {
    return synced && unfinishedListing == null ? revision : 0;
  }

  /** Whether all keys have been listed and are being watched; see {@link #revision} too. */
  boolean synced() {
    return synced;
  }

  /** Steady time in ms up to which the replica surely holds every change. */
  long freshAtMs() {
    return freshAtMs;
  }

  /** Starts to list all keys, unless the replica is synced or is about to be. */
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
    if (current.lastKey == null) {
      current.revision = page.revision();
    }
    for (KeyValue item : page.items()) {
      replica.apply(item);
      current.keys.add(item.key());
      if (item.value() instanceof MachineGroupEntry group) {
        for (MachineGroupMember member : group.machines()) {
          current.keys.add(StateKeys.machine(member.id()));
        }
      }
      current.lastKey = item.key();
    }
    current.lastPageRevision = page.revision();
    if (page.hasMore() && current.lastKey != null) {
      listNextPage(current);
      return;
    }
    listing = false;
    unfinishedListing = current;
    revision = current.revision;
    synced = true;
    finishListing();
    replica.notifySynced(revision);
    watchNext();
  }

  /**
   * The replica is complete once it holds what changed while the pages were read. A key that is on
   * no page may have moved from a later page to one that was read before, as machines do that turn
   * to another group: taken for deleted, a living machine would count as returned.
   */
  private void finishListing() {
    Listing listed = unfinishedListing;
    if (listed == null || revision < listed.lastPageRevision) {
      return;
    }
    unfinishedListing = null;
    // what was deleted while no watch ran
    replica.deleteUnlisted(listed.keys, listed.revision);
    freshAtMs = Math.max(freshAtMs, listed.startedMs);
  }

  private void watchNext() {
    long sentMs = clock.now();
    requests.watch(revision, result -> applyEvents(result, sentMs));
  }

  private void applyEvents(WatchResult result, long sentMs) {
    if (result.code() == ResultCode.EXPIRED) {
      synced = false;
      unfinishedListing = null;
      start();
      return;
    }
    if (result.code() != ResultCode.OK) {
      clock.schedule(Constants.STATE_RETRY_MS, this::watchNext);
      return;
    }
    for (KeyValue item : result.events()) {
      replica.apply(item);
    }
    revision = Math.max(revision, result.revision());
    finishListing();
    if (unfinishedListing == null) {
      freshAtMs = Math.max(freshAtMs, sentMs);
    }
    replica.notifyAdvanced();
    clock.schedule(WATCH_PAUSE_MS, this::watchNext);
  }
}
