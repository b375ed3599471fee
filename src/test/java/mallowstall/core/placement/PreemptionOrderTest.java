package mallowstall.core.placement;

import static mallowstall.core.model.JobSpecBuilder.batchJob;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import mallowstall.core.cluster.JobsNeedingLeader;
import mallowstall.core.model.CoreSettingsBuilder;
import mallowstall.core.model.JobEntry;
import mallowstall.core.model.JobSpec;
import mallowstall.core.model.Priority;
import mallowstall.core.model.Team;
import mallowstall.core.quota.GuaranteedShares;
import org.junit.jupiter.api.Test;

/** Guards against preemption cycles, in which a preempted job in turn displaces its preemptor. */
class PreemptionOrderTest {
  private static final int DRAWS = 3_000;
  private static final int JOBS = 8;
  private static final List<String> TEAMS = List.of("one", "two", "three");

  private final JobsNeedingLeader jobsNeedingLeader = new JobsNeedingLeader();
  private final GuaranteedShares shares =
      new GuaranteedShares(
          CoreSettingsBuilder.settingsOf("n1")
              .teams(
                  Map.of(
                      "one", new Team("one", 8, 0, 0, 0),
                      "two", new Team("two", 16, 0, 0, 0),
                      "three", new Team("three", 0, 0, 0, 0)))
              .build(),
          jobsNeedingLeader);
  private final PreemptionOrder order = new PreemptionOrder(shares);

  private JobSpec openJob(String id, String team, Priority priority, int cpus, long submittedMs) {
    JobSpec spec = batchJob(id).team(team).priority(priority).cpus(cpus).build();
    jobsNeedingLeader.jobChanged(null, JobEntry.newlyAccepted(spec, submittedMs, "n1", 1));
    shares.recompute();
    return spec;
  }

  private List<JobSpec> drawJobs(SplittableRandom random) {
    List<JobSpec> jobs = new ArrayList<>();
    for (int i = 0; i < JOBS; i++) {
      String team = TEAMS.get(random.nextInt(TEAMS.size()));
      Priority priority = Priority.values()[random.nextInt(Priority.values().length)];
      jobs.add(openJob("wk-" + i, team, priority, 1 + random.nextInt(8), random.nextInt(100)));
    }
    return jobs;
  }

  private boolean mayPreempt(JobSpec preemptor, JobSpec victim) {
    return order.ground(preemptor, true, victim).isPresent();
  }

  /** Returns the ids of all jobs that the first one may preempt, directly or through a chain. */
  private Set<String> reachable(JobSpec first, List<JobSpec> jobs) {
    Set<String> reached = new HashSet<>();
    List<JobSpec> next = new ArrayList<>(List.of(first));
    while (!next.isEmpty()) {
      JobSpec preemptor = next.remove(next.size() - 1);
      for (JobSpec victim : jobs) {
        if (mayPreempt(preemptor, victim) && reached.add(victim.id())) {
          next.add(victim);
        }
      }
    }
    return reached;
  }

  @Test
  void preemptionHasNoCycles() {
    SplittableRandom random = new SplittableRandom(17);
    int pairs = 0;
    for (int draw = 0; draw < DRAWS; draw++) {
      List<JobSpec> jobs = drawJobs(random);
      for (JobSpec job : jobs) {
        Set<String> reached = reachable(job, jobs);
        pairs += reached.size();
        assertFalse(reached.contains(job.id()), "draw " + draw + ": " + jobs);
      }
    }
    assertTrue(pairs > DRAWS, "pairs of preemptor and victim: " + pairs);
  }

  @Test
  void groundIsGuaranteedShareOrPriority() {
    JobSpec covered = openJob("wk-1", "one", Priority.LOW, 8, 1);
    JobSpec production = openJob("wk-2", "three", Priority.PRODUCTION, 8, 2);
    JobSpec normal = openJob("wk-3", "three", Priority.NORMAL, 8, 3);
    assertEquals(
        Optional.of(PreemptionOrder.Ground.GUARANTEED_SHARE),
        order.ground(covered, true, production));
    assertEquals(
        Optional.empty(),
        order.ground(covered, false, production),
        "the share may not be claimed yet");
    assertEquals(
        Optional.of(PreemptionOrder.Ground.PRIORITY), order.ground(production, true, normal));
    assertEquals(
        Optional.empty(),
        order.ground(production, true, covered),
        "the victim's share would take the machine back");
    assertEquals(Optional.empty(), order.ground(normal, true, normal));
  }
}
