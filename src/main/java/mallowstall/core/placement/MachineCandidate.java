package mallowstall.core.placement;

import mallowstall.core.cluster.MachineView;

/** A machine that a block of a policy accepts for a job. The lowest score is tried first. */
record MachineCandidate(MachineView machine, double score) {}
