package mallowstall.core.jobs;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import mallowstall.core.cluster.ClusterView;
import mallowstall.core.cluster.PeerState;
import mallowstall.core.kv.StateKeys;
import mallowstall.core.kv.StateStore;
import mallowstall.core.kv.StoredValue;
import mallowstall.core.model.MachineEntry;

/**
 * Which machines have shown what earlier leaders of a job may have started on them. A machine has
 * done so once its leader has published it fully from a state replica that contains the claim of
 * the job: no earlier leader's start can reach it afterwards, whoever leads the machine later. So
 * each machine is looked at for itself, and what it has shown stays shown. Not thread-safe.
 */
final class MachineCoverage {
  private final StateStore store;
  private final ClusterView view;

  /** What is known of the machines with an entry, by machine. */
  private final Map<String, Machine> machines = new HashMap<>();

  /** All machines since observation began, in the order in which they were first seen. */
  private final List<String> seen = new ArrayList<>();

  private long observations;

  /** The revision up to which the state replica was complete at the last observation. */
  private long observedRevision = -1;

  /** What one machine has shown. */
  private static final class Machine {
    /** The last revision at which the machine certainly had no entry, or -1. */
    private final long absentAtRevision;

    /** The revision of the leader's replica when it last published the machine fully, or -1. */
    private long shownRevision = -1;

    /** The ordinal of that status update among all that were received. */
    private long shownOrdinal;

    private long lastObservation;

    Machine(long absentAtRevision) {
      this.absentAtRevision = absentAtRevision;
    }

    void show(long revision, long ordinal) {
      if (revision >= shownRevision) {
        shownRevision = revision;
        shownOrdinal = ordinal;
      }
    }
  }

  /** Progress of one job through the machines that it has to wait for. */
  static final class Progress {
    private final int end;
    private int next;

    private Progress(int end) {
      this.end = end;
    }
  }

  MachineCoverage(StateStore store, ClusterView view) {
    this.store = store;
    this.view = view;
  }

  /** Takes in what the machines have shown up to now. */
  void observe() {
    observations++;
    for (Map.Entry<String, StoredValue> stored :
        store.entriesUnder(StateKeys.MACHINE_PREFIX).entrySet()) {
      observe(StateKeys.machineOf(stored.getKey()), (MachineEntry) stored.getValue().value());
    }
    machines.values().removeIf(machine -> machine.lastObservation != observations);
    observedRevision = store.revision();
  }

  private void observe(String id, MachineEntry entry) {
    Machine machine = machines.get(id);
    if (machine == null) {
      machine = new Machine(observedRevision);
      machines.put(id, machine);
      seen.add(id);
    }
    machine.lastObservation = observations;
    if (view.isFullyReported(id, entry)) {
      PeerState leader = view.peer(entry.node());
      machine.show(leader.replicaRevision(), leader.lastUpdateOrdinal());
    }
  }

  /** Forgets everything, since no job waits for machines. */
  void clear() {
    machines.clear();
    seen.clear();
    observedRevision = -1;
  }

  /**
   * Begins the wait of a job. Its claim must be contained in the state replica as last observed: a
   * machine that is registered later can't have received a start of an earlier leader.
   */
  Progress begin() {
    return new Progress(seen.size());
  }

  /** Returns the first machine that has not yet shown its starts of the job, or null. */
  String firstUncovered(ClaimRecovery recovery) {
    Progress progress = recovery.progress();
    while (progress.next < progress.end) {
      String id = seen.get(progress.next);
      if (!isCovered(recovery, id)) {
        return id;
      }
      progress.next++;
    }
    return null;
  }

  /** Returns the machines that have not yet shown their starts of the job. */
  List<String> uncovered(ClaimRecovery recovery) {
    Progress progress = recovery.progress();
    List<String> uncovered = new ArrayList<>();
    for (String id : seen.subList(progress.next, progress.end)) {
      if (!isCovered(recovery, id)) {
        uncovered.add(id);
      }
    }
    return uncovered;
  }

  private boolean isCovered(ClaimRecovery recovery, String id) {
    Machine machine = machines.get(id);
    if (machine == null || machine.absentAtRevision >= recovery.claimRevision()) {
      return true;
    }
    // The second condition guards against updates that were sent after the claim but received
    // before this controller applied the claimed entry.
    return machine.shownRevision >= recovery.claimRevision()
        && machine.shownOrdinal > recovery.statusUpdatesBeforeClaim();
  }
}
