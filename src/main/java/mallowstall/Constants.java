package mallowstall;

/**
 * Constants that several classes share, or a class and tests of other packages, and those of
 * serving users. Each has its unit and the reason for its value or its source; what one class alone
 * uses stands there. Ordered by concern: clocks and numbers, state service, quota, jobs, peers,
 * machines, placement, autoscaling and users.
 */
public final class Constants {
  private Constants() {}

  /** Fraction. Steady clocks of two machines drift apart by at most this much (protocol). */
  public static final double CLOCK_DRIFT_FRACTION = 0.0005;

  /**
   * ms. Period of the core's regular work: short against the half second between a worker's
   * heartbeats.
   */
  public static final long TICK_MS = 100;

  /**
   * Processors, GPUs, GB or tasks. Amounts that differ by less after one or two operations are
   * equal.
   */
  public static final double ROUNDING_EPSILON = 1e-9;

  /**
   * Bits of an attempt number below the leader epoch: a new leader's attempts exceed all earlier
   * ones.
   */
  public static final int ATTEMPT_BITS = 24;

  /**
   * ms. Lease of a controller's session: survives a few lost renewals, and its end is noticed soon.
   */
  public static final long SESSION_LEASE_MS = 5_000;

  /** ms. A watch without changes returns after this: bounds the age of the state replica. */
  public static final long WATCH_TIMEOUT_MS = 2_000;

  /** ms. A request to the state service without a response by then has an unknown outcome. */
  public static final long STATE_TIMEOUT_MS = 1_500;

  /** ms. Wait after a failure of the state service before regular work tries again. */
  public static final long STATE_RETRY_MS = 400;

  /** Fraction of the shared rate limits that all controllers together plan to spend. */
  public static final double STATE_RATE_FRACTION = 0.9;

  /**
   * ms. Without a response of the state service for so long, while a peer has some, this controller
   * is isolated.
   */
  public static final long STATE_CUT_OFF_MS = 2_600;

  /** Count. Tasks whose completion bits stand in one value of the first layout: 2 KiB raw. */
  public static final int BITS_PER_CHUNK = 16_384;

  /**
   * Count. Tasks whose completion bits stand in one value of the compact layout: 1 KiB raw and
   * below 1.5 KiB encoded, so that they fit the lowest announced value limit, 2 KiB.
   */
  public static final int BITS_PER_PIECE = 8_192;

  /** Fraction of a team's quota up to which its jobs get reservations at once and keep them. */
  public static final double QUOTA_UNCONTENDED_FRACTION = 0.5;

  /** ms. Between scans for jobs whose leader has ended. */
  public static final long JOB_FAILOVER_SCAN_INTERVAL_MS = 300;

  /** Count. Machines on which a job may fail before the fault is taken for the job's own. */
  public static final int JOB_FAULT_MACHINES = 4;

  /** ms. First wait of a policy that failed (docs/design.md). */
  public static final long BACKOFF_INITIAL_MS = 1_000;

  /** ms. Longest wait of a policy that failed (docs/design.md). */
  public static final long BACKOFF_MAX_MS = 10_000;

  /** ms. A peer's status update older than this isn't used for placement; its digest is. */
  public static final long STATUS_UPDATE_STALE_MS = 4_000;

  /**
   * ms. The status of an unchanged machine is published again after this: keeps idle times and
   * heartbeat ages at the peers about right.
   */
  public static final long MACHINE_STATUS_REFRESH_MS = 4_000;

  /**
   * ms. A command request without a response by then has an unknown outcome: the worker may still
   * execute the commands.
   */
  public static final long COMMAND_REQUEST_TIMEOUT_MS = 2_000;

  /**
   * ms. Machines of an ended controller that have reported to nobody since are asked by the others
   * after this: by then most workers have found another leader themselves.
   */
  public static final long MACHINE_FAILOVER_DELAY_MS = 3_000;

  /**
   * Count. Most recoveries of a restarted controller's machines under way: other changes need the
   * state service's rate as well.
   */
  public static final int RECOVERY_CONCURRENCY = 4;

  /**
   * ms. Least time between two scheduling passes: a pass looks at all machines and queued jobs, and
   * status updates come many times a second.
   */
  public static final long PLACEMENT_PASS_INTERVAL_MIN_MS = 90;

  /**
   * ms. A start that its machine leader hasn't sent to the worker by then is dropped, however long
   * the job leader's lease lasts.
   */
  public static final long START_EXPIRY_MS = 8_000;

  /**
   * ms. The target of a moving replica is reserved, and a faulty machine isn't returned, for so
   * long: time to save, to exit, and for the report of it.
   */
  public static final long RELOCATION_RESERVATION_MS = 6_000;

  /** ms. A queued job of higher priority may preempt lower work after this time. */
  public static final long PREEMPTION_DELAY_MS = 2_500;

  /**
   * ms. A job that has no tasks on machines and of which none ran for so long comes before all
   * others: the largest must begin within 4 minutes however long an overload lasts, and capacity
   * must still be freed and an image fetched.
   */
  public static final long STARVATION_MS = 90_000;

  /** ms. Between two plans of the controller that leads the autoscaler. */
  public static final long AUTOSCALER_INTERVAL_MS = 1_500;

  /** Count. Most machines per scale-in request (protocol). */
  public static final int SCALE_IN_MACHINES_MAX = 100;

  /**
   * ms. A starting controller listens to users and workers after this even if it can't serve them
   * yet: without the state service they get a Retry-After.
   */
  public static final long LISTEN_DELAY_MAX_MS = 5_000;

  /** Bytes. Largest request body (protocol). */
  public static final int BODY_MAX_BYTES = 64 << 10;

  /** Count. Ended jobs kept in memory to answer queries without a read. */
  public static final int TERMINAL_JOBS_CACHE_MAX = 4_000;

  /** ms. How long the rest of a body that is too large is read and dropped before closing. */
  public static final long BODY_DISCARD_MS = 1_000;

  /** s. A connection without a request for so long is closed. */
  public static final int IDLE_CONNECTION_TIMEOUT_S = 60;

  /** ms. Between two scans for such connections, and for requests that come too slowly. */
  public static final long CONNECTION_SWEEP_INTERVAL_MS = 1_000;

  /** s. A request that has begun to arrive must be complete within this. */
  public static final int REQUEST_READ_TIMEOUT_S = 10;
}
