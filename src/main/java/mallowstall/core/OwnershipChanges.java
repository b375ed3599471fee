package mallowstall.core;

import mallowstall.core.Model.CoreSettings;
import mallowstall.core.Model.JobRec;
import mallowstall.core.Model.MachineRec;
import mallowstall.core.Model.TaskReport;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Takes in what changes in the state service mean for the machines led here. */
final class OwnershipChanges {
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.owner");

  private final CoreSettings settings;
  private final Store store;
  private final OwnedMachines machines;
  private final RosterPublisher publisher;
  private final MachineAdoption adoption;
  private final ReclaimedMachines reclaimed;

  OwnershipChanges(
      CoreSettings settings,
      Store store,
      OwnedMachines machines,
      RosterPublisher publisher,
      MachineAdoption adoption,
      ReclaimedMachines reclaimed) {
    this.settings = settings;
    this.store = store;
    this.machines = machines;
    this.publisher = publisher;
    this.adoption = adoption;
    this.reclaimed = reclaimed;
  }

  /** The machine's record has changed; null: it was returned. */
  void machineChanged(String id, MachineRec record) {
    if (record == null) {
      adoption.returned(id);
    } else {
      reclaimed.ownedBetween(id, record);
    }
    OwnedMachine machine = machines.get(id);
    if (machine == null) {
      return;
    }
    if (record == null) {
      publisher.disown(id);
    } else if (record.node().equals(settings.node())
        && record.incarnation() == store.incarnation()) {
      // this controller's own raise or adoption, seen before its answer is handled
      if (!machine.termChanging && record.token() > machine.term) {
        publisher.disown(id);
      }
    } else if (record.token() > machine.term) {
      LOG.debug("machine {} is now owned by {} under term {}", id, record.node(), record.token());
      publisher.disown(id);
    }
  }

  /**
   * A job has become known whose tasks may be on machines that came over from an owner whose mirror
   * was ahead: only now their room counts. Until the next restatement such a machine was told as
   * free.
   */
  void jobChanged(JobRec before, JobRec after) {
    if (before != null) {
      return;
    }
    String id = after.spec().id();
    for (OwnedMachine machine : machines.all()) {
      for (TaskReport task : machine.tasks.values()) {
        if (!task.job().equals(id)) {
          continue;
        }
        machine.changed = true;
        publisher.touch();
        break;
      }
    }
  }
}
