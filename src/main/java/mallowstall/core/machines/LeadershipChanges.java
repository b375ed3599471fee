package mallowstall.core.machines;

import mallowstall.core.kv.StateStore;
import mallowstall.core.model.CoreSettings;
import mallowstall.core.model.JobEntry;
import mallowstall.core.model.MachineEntry;
import mallowstall.core.model.TaskReport;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Takes in what changes in the state service mean for the machines led here. */
public final class LeadershipChanges {
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.owner");

  private final CoreSettings settings;
  private final StateStore store;
  private final ManagedMachines machines;
  private final StatusPublisher statusPublisher;
  private final MachineRegistration registration;
  private final RestartRecovery restartRecovery;

  /** Wires this module to the ones that it uses; it does nothing before its first event. */
  public LeadershipChanges(
      CoreSettings settings,
      StateStore store,
      ManagedMachines machines,
      StatusPublisher statusPublisher,
      MachineRegistration registration,
      RestartRecovery restartRecovery) {
    this.settings = settings;
    this.store = store;
    this.machines = machines;
    this.statusPublisher = statusPublisher;
    this.registration = registration;
    this.restartRecovery = restartRecovery;
  }

  /** The machine's record has changed; null: it was returned. */
  public void machineChanged(String id, MachineEntry record) {
    if (record == null) {
      registration.tombstone(id);
    } else {
      restartRecovery.noteInterveningLeader(id, record);
    }
    ManagedMachine machine = machines.get(id);
    if (machine == null) {
      return;
    }
    if (record == null) {
      statusPublisher.releaseMachine(id);
    } else if (record.node().equals(settings.node())
        && record.incarnation() == store.incarnation()) {
      // this controller's own raise or adoption, seen before its answer is handled
      if (!machine.commands().tokenWriteInFlight()
          && record.fencingToken() > machine.fencingToken()) {
        statusPublisher.releaseMachine(id);
      }
    } else if (record.fencingToken() > machine.fencingToken()) {
      LOG.debug(
          "machine {} is now owned by {} under term {}", id, record.node(), record.fencingToken());
      statusPublisher.releaseMachine(id);
    }
  }

  /**
   * A job has become known whose tasks may be on machines that came over from an owner whose mirror
   * was ahead: only now their room counts. Until the next restatement such a machine was told as
   * free.
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
