package mallowstall.soak;

import java.util.List;
import java.util.SplittableRandom;

/**
 * What a seed decides about a soak: sizes, times and the shapes of jobs.
 *
 * @param seed the seed
 * @param machinesMax number of machines that the cloud has
 * @param reportMs interval of workers' reports in milliseconds
 * @param leaseMs workers' lease in milliseconds
 * @param fetchMsMax longest time of an image fetch in milliseconds
 * @param imageGb size of an image in gigabytes
 * @param runMsMax longest run time of a task in milliseconds
 * @param tasksMax largest number of tasks of a job
 * @param lateReportShare share of reports of which a late copy arrives
 */
record SoakPlan(
    long seed,
    int machinesMax,
    long reportMs,
    long leaseMs,
    int fetchMsMax,
    double imageGb,
    int runMsMax,
    int tasksMax,
    double lateReportShare) {
  static final long CANCEL_MS = 35_000;

  /** Processors that the tasks of the team with a limit may use. */
  static final double LIMITED_CPUS = 24;

  private static final String LIMITED_TEAM = "tight";
  private static final String FREE_TEAM = "free";

  /** One run in so many has a few hundred workers. */
  private static final int LARGE_RUN_EVERY = 8;

  /** One run in so many has images that take a minute to fetch, and machines silent in turn. */
  private static final int LONG_FETCH_RUN_EVERY = 6;

  private static final double LONG_FETCH_GB = 60;

  private static final int LONG_FETCH_IMAGES = 3;

  private static final int SUBMISSION_GAP_MS = 700;

  private static final int LONG_FETCH_SUBMISSION_GAP_MS = 5_000;

  static SoakPlan of(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    boolean isLarge = seed % LARGE_RUN_EVERY == 0;
    return new SoakPlan(
        seed,
        isLarge ? 250 : 8 + random.nextInt(16),
        1_000 + random.nextInt(4_000),
        10_000 + random.nextInt(4_000),
        random.nextInt(3) == 0 ? 12_000 : 1_500,
        hasLongFetches(seed) ? LONG_FETCH_GB : 1,
        2_000 + random.nextInt(6_000),
        isLarge ? 300 : 10,
        random.nextInt(2) * 0.05);
  }

  List<String> nodes() {
    return List.of("tocon-0", "tocon-1", "tocon-2");
  }

  String zone(String node) {
    return node.equals("tocon-1") ? "b" : "a";
  }

  /** Returns whether the job is of the team with a limit. */
  boolean isLimited(String job) {
    return number(job) % 3 == 0;
  }

  String team(String job) {
    return isLimited(job) ? LIMITED_TEAM : FREE_TEAM;
  }

  double cpus(String job) {
    return 1 + number(job) % 4;
  }

  int tasks(String job) {
    // A large array of the team with a limit would take longer than the soak.
    boolean isArray = number(job) % 5 == 0 && !isLimited(job);
    return isArray ? tasksMax : 1 + number(job) % 3;
  }

  private static int number(String job) {
    return Integer.parseInt(job.substring("wk-".length()));
  }

  long runMs(String task) {
    return 500L + Math.floorMod(task.hashCode() * 31L + seed, runMsMax);
  }

  /** Returns the image of the job; images that take long to fetch are shared by jobs. */
  String image(String job) {
    return "img-" + (hasLongFetches() ? number(job) % LONG_FETCH_IMAGES : job);
  }

  /** Returns the mean time in milliseconds between two submissions. */
  int submissionGapMs() {
    return hasLongFetches() ? LONG_FETCH_SUBMISSION_GAP_MS : SUBMISSION_GAP_MS;
  }

  /** Returns whether images take a minute to fetch and machines fall silent in turn. */
  boolean hasLongFetches() {
    return hasLongFetches(seed);
  }

  private static boolean hasLongFetches(long seed) {
    return seed % LONG_FETCH_RUN_EVERY == LONG_FETCH_RUN_EVERY - 1;
  }

  long fetchMs(String machine) {
    if (hasLongFetches()) {
      double variation = 0.8 + Math.floorMod(machine.hashCode() * 17L + seed, 50) / 100.0;
      return (long) (imageGb * 1_000 * variation);
    }
    return 100L + Math.floorMod(machine.hashCode() * 17L + seed, fetchMsMax);
  }
}
