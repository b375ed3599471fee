package mallowstall.core.kv;

/**
 * The keys of the state service and how they are built (source: protocol, State service).
 *
 * <p>All keys share one prefix, so that one revision tells how far the whole replica has come.
 */
public final class StateKeys {
  /** The prefix of all keys. */
  public static final String ROOT = "c/";

  /** Entries of jobs, by id. */
  public static final String JOB_PREFIX = "c/j/";

  /** Entries of single machines, by id. */
  public static final String MACHINE_PREFIX = "c/m/";

  /** Entries that name the leader of many machines at once, by incarnation and a counter. */
  public static final String MACHINE_GROUP_PREFIX = "c/g/";

  /** Sessions of controllers, by node; attached to the lease of the session. */
  public static final String SESSION_PREFIX = "c/n/";

  /**
   * Program versions of controllers, by node. Without a lease, since a node that is down keeps its
   * version; program versions that don't know this key ignore it.
   */
  public static final String VERSION_PREFIX = "c/v/";

  /** What teams have reserved of their quota, by team. */
  public static final String TEAM_PREFIX = "c/t/";

  /** Digests of free capacity and pending work, by node. */
  public static final String DIGEST_PREFIX = "c/d/";

  /** Completion bits that don't stand in the entry of their job. */
  static final String COMPLETION_BITS_PREFIX = "c/b/";

  /** The leader of autoscaling. */
  public static final String AUTOSCALER_LEADER_KEY = "c/cloud";

  /** The counter from which incarnations are taken. */
  static final String INCARNATION_COUNTER_KEY = "c/incarnations";

  private StateKeys() {}

  /** The key of a job's entry. */
  public static String job(String id) {
    return JOB_PREFIX + id;
  }

  /** The key of a machine's own entry. */
  public static String machine(String id) {
    return MACHINE_PREFIX + id;
  }

  /** The machine to which the key of a machine's own entry belongs. */
  public static String machineOf(String key) {
    return key.substring(MACHINE_PREFIX.length());
  }

  /** The key of a controller's session. */
  public static String session(String node) {
    return SESSION_PREFIX + node;
  }

  /** The controller to which the key of a session belongs. */
  public static String nodeOf(String sessionKey) {
    return sessionKey.substring(SESSION_PREFIX.length());
  }

  /** The key of a controller's program version. */
  public static String version(String node) {
    return VERSION_PREFIX + node;
  }

  /** The key of a team's reserved quota. */
  public static String team(String team) {
    return TEAM_PREFIX + team;
  }

  /** The key of a controller's digest. */
  public static String digest(String node) {
    return DIGEST_PREFIX + node;
  }

  /** The key of a chunk of a job's completion bits; chunk 0 stands in the job's entry instead. */
  static String completionChunk(String job, int chunk) {
    return COMPLETION_BITS_PREFIX + job + "/" + chunk;
  }

  /** The key of a piece of a job's completion bits in the compact layout. */
  static String completionPiece(String job, int piece) {
    return COMPLETION_BITS_PREFIX + job + "/p" + piece;
  }

  /** The job to which the key of a chunk or piece of completion bits belongs. */
  static String jobOfCompletionBits(String key) {
    return key.substring(COMPLETION_BITS_PREFIX.length(), key.lastIndexOf('/'));
  }
}
