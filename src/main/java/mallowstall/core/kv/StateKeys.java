package mallowstall.core.kv;

/**
 * The keys of the state service and the methods that build and parse them (source: protocol, State
 * service).
 *
 * <p>All keys share one prefix, so that a single revision describes how recent the whole replica
 * is.
 */
public final class StateKeys {
  /** The prefix of all keys. */
  public static final String ROOT = "c/";

  /** The prefix of the entries of jobs, by id. */
  public static final String JOB_PREFIX = "c/j/";

  /** The prefix of the entries of single machines, by id. */
  public static final String MACHINE_PREFIX = "c/m/";

  /**
   * The prefix of entries that name the leader of a group of machines, by incarnation and counter.
   */
  public static final String MACHINE_GROUP_PREFIX = "c/g/";

  /**
   * The prefix of controllers' session entries, by node. They are attached to the session lease.
   */
  public static final String SESSION_PREFIX = "c/n/";

  /**
   * The prefix of the program versions of controllers, by node. These entries are attached to no
   * lease, because a node that is down keeps its version. Program versions without support for this
   * key ignore it.
   */
  public static final String VERSION_PREFIX = "c/v/";

  /** The prefix of the quota reservations of teams, by team. */
  public static final String TEAM_PREFIX = "c/t/";

  /** The prefix of the digests of free capacity and pending work, by node. */
  public static final String DIGEST_PREFIX = "c/d/";

  /**
   * The prefix of the messages about running tasks that controllers exchange, by node. These
   * entries are attached to the session lease. Program versions without support for this key ignore
   * it.
   */
  public static final String RUN_STATE_EXCHANGE_PREFIX = "c/q/";

  /** The prefix of completion bits that are stored outside the entry of their job. */
  static final String COMPLETION_BITS_PREFIX = "c/b/";

  /** The key of the entry that names the leader of autoscaling. */
  public static final String AUTOSCALER_LEADER_KEY = "c/cloud";

  /** The key of the counter that issues incarnation numbers. */
  static final String INCARNATION_COUNTER_KEY = "c/incarnations";

  private StateKeys() {}

  /** Returns the key of a job's entry. */
  public static String job(String id) {
    return JOB_PREFIX + id;
  }

  /** Returns the key of a machine's own entry. */
  public static String machine(String id) {
    return MACHINE_PREFIX + id;
  }

  /** Returns the id of the machine whose own entry has this key. */
  public static String machineOf(String key) {
    return key.substring(MACHINE_PREFIX.length());
  }

  /** Returns the key of a controller's session entry. */
  public static String session(String node) {
    return SESSION_PREFIX + node;
  }

  /** Returns the node name of the controller whose session entry has this key. */
  public static String nodeOf(String sessionKey) {
    return sessionKey.substring(SESSION_PREFIX.length());
  }

  /** Returns the key of a controller's program version. */
  public static String version(String node) {
    return VERSION_PREFIX + node;
  }

  /** Returns the key of a team's quota reservations. */
  public static String team(String team) {
    return TEAM_PREFIX + team;
  }

  /** Returns the key of a controller's digest. */
  public static String digest(String node) {
    return DIGEST_PREFIX + node;
  }

  /** Returns the key of the messages about running tasks that a controller has written. */
  public static String runStateExchange(String node) {
    return RUN_STATE_EXCHANGE_PREFIX + node;
  }

  /**
   * Returns the key of a chunk of a job's completion bits. Chunk 0 has no key because the job's
   * entry holds it.
   */
  static String completionChunk(String job, int chunk) {
    return COMPLETION_BITS_PREFIX + job + "/" + chunk;
  }

  /** Returns the key of a piece of a job's completion bits in the compact layout. */
  static String completionPiece(String job, int piece) {
    return COMPLETION_BITS_PREFIX + job + "/p" + piece;
  }

  /** Returns the job to which the key of a chunk or piece of completion bits belongs. */
  static String jobOfCompletionBits(String key) {
    return key.substring(COMPLETION_BITS_PREFIX.length(), key.lastIndexOf('/'));
  }
}
