package mallowstall.core.placement;

import mallowstall.core.cluster.MachineView;

/** A machine that a block of a policy accepts for a job; the lower score comes first. */
record MachineCandidate(MachineView machine, double score) {}
