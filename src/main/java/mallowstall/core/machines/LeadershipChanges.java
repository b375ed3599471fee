package mallowstall.core.machines;

import mallowstall.core.kv.StateStore;
import mallowstall.core.model.CoreSettings;
import mallowstall.core.model.JobEntry;
import mallowstall.core.model.MachineEntry;
import mallowstall.core.model.TaskReport;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Applies changes of entries in the state service to the machines led here. */
public final class LeadershipChanges {
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.machines");

  private final CoreSettings settings;
  private final StateStore store;
  private final ManagedMachines machines;
  private final StatusPublisher statusPublisher;
  private final StatusUpdateSequence updates;
  private final RestartRecovery restartRecovery;

  /** Releases machines through {@code updates}, so that peers hear of it. */
  public LeadershipChanges(
      CoreSettings settings,
      StateStore store,
      ManagedMachines machines,
      StatusPublisher statusPublisher,
      StatusUpdateSequence updates,
      RestartRecovery restartRecovery) {
    this.settings = settings;
    this.store = store;
    this.machines = machines;
    this.statusPublisher = statusPublisher;
    this.updates = updates;
    this.restartRecovery = restartRecovery;
  }

  /** The machine's entry has changed; null: it was deleted when the machine was returned. */
  public void machineChanged(String id, MachineEntry entry) {
    if (entry != null) {
      restartRecovery.noteInterveningLeader(id, entry);
    }
    ManagedMachine machine = machines.get(id);
    if (machine == null) {
      return;
    }
    if (entry == null) {
      release(id);
    } else if (entry.node().equals(settings.node()) && entry.incarnation() == store.incarnation()) {
      // an own write may be seen here before its answer is handled
      if (!machine.commands().tokenWriteInFlight()
          && entry.fencingToken() > machine.fencingToken()) {
        release(id);
      }
    } else if (entry.fencingToken() > machine.fencingToken()) {
      LOG.debug(
          "machine released machine={} leader={} token={}", id, entry.node(), entry.fencingToken());
      release(id);
    }
  }

  private void release(String id) {
    if (machines.remove(id)) {
      updates.addReleased(id);
      statusPublisher.requestPublish();
    }
  }

  /**
   * A job has become known: its tasks may be on machines taken from a leader whose replica was
   * ahead, and their resources count as used only from now on.
   */
  public void jobChanged(JobEntry before, JobEntry after) {
    if (before != null) {
      return;
    }
    String id = after.spec().id();
    for (ManagedMachine machine : machines.all()) {
      for (TaskReport task : machine.tasks().reports()) {
        if (!task.job().equals(id)) {
          continue;
        }
        machine.published().markChanged();
        statusPublisher.requestPublish();
        break;
      }
    }
  }
}
