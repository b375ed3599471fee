package mallowstall.core.machines;

import mallowstall.core.kv.StateStore;
import mallowstall.core.model.CoreSettings;
import mallowstall.core.model.JobEntry;
import mallowstall.core.model.MachineEntry;
import mallowstall.core.model.TaskReport;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Applies changes of entries in the state service to the machines that this controller leads. */
public final class LeadershipChanges {
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.machines");

  private final CoreSettings settings;
  private final StateStore store;
  private final ManagedMachines machines;
  private final StatusPublisher statusPublisher;
  private final StatusUpdateSequence updates;
  private final RestartRecovery restartRecovery;

  /** Creates an instance that announces released machines to peers through {@code updates}. */
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

  /** Applies a change of a machine's entry, null if deleted because the machine was returned. */
  public void machineChanged(String id, MachineEntry entry) {
    if (entry != null) {
      restartRecovery.recordInterveningLeader(id, entry);
    }
    ManagedMachine machine = machines.get(id);
    if (machine == null) {
      return;
    }
    if (entry == null) {
      release(id);
    } else if (entry.node().equals(settings.node()) && entry.incarnation() == store.incarnation()) {
      // The state replica may apply a write of this controller before its response is handled.
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
   * Requests a status update for machines that list tasks of a newly known job. A machine that was
   * taken from a leader with a newer state replica may list tasks of a job that is unknown here.
   * The resources of these tasks count as used only once the job is known.
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
