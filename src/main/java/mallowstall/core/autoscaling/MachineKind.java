package mallowstall.core.autoscaling;

import mallowstall.core.model.JobSpec;
import mallowstall.core.model.MachineEntry;
import mallowstall.core.model.MachineStatus;

/**
 * What distinguishes machines when they are requested: the cloud rents them out by type and zone,
 * and either as spot or as on-demand machines.
 */
record MachineKind(String type, String zone, boolean spot) {
  /** Returns the kind of a registered machine. */
  static MachineKind of(MachineEntry entry) {
    return new MachineKind(entry.type(), entry.zone(), entry.spot());
  }

  /** Returns the kind of a machine whose status is known. */
  static MachineKind of(MachineStatus status) {
    return new MachineKind(status.type(), status.zone(), status.spot());
  }

  /** Returns whether the job allows machines of this kind. */
  boolean isAllowedFor(JobSpec job) {
    return job.allowsMachine(type, zone, spot);
  }
}
