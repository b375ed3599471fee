package mallowstall;

/**
 * Constants that are used by several classes, or by one class and by tests of other packages, and
 * the constants for serving users. A constant that only one class uses is declared in that class.
 * Each comment gives the unit and, where needed, the reason for the value or its source. The order
 * is by concern: clocks and numbers, state service, quota, jobs, peers, machines, placement,
 * autoscaling and users.
 */
public final class Constants {
  private Constants() {}

  /** Maximum drift between two machines' steady clocks, as a fraction (protocol). */
  public static final double CLOCK_DRIFT_FRACTION = 0.0005;

  /**
   * Period of the core's regular work in milliseconds. It is short compared with the half second
   * between two heartbeats of a worker.
   */
  public static final long TICK_MS = 100;

  /**
   * Tolerance in processors, GPUs, gigabytes or tasks. Amounts that differ by less count as equal,
   * to allow for the rounding of one or two arithmetic operations.
   */
  public static final double ROUNDING_EPSILON = 1e-9;

  /**
   * Number of bits of an attempt number below the leader epoch. Because the epoch takes the higher
   * bits, the attempt numbers of a new leader exceed all earlier ones.
   */
  public static final int ATTEMPT_BITS = 24;

  /**
   * Duration in milliseconds of the lease of a controller's session. It is long enough to survive a
   * few lost renewals, and short enough that its end is noticed soon.
   */
  public static final long SESSION_LEASE_MS = 5_000;

  /**
   * Time in milliseconds after which a watch without changes returns. It bounds the age of the
   * state replica.
   */
  public static final long WATCH_TIMEOUT_MS = 2_000;

  /**
   * Time in milliseconds after which a request to the state service without a response has an
   * unknown outcome.
   */
  public static final long STATE_TIMEOUT_MS = 1_500;

  /** Delay in milliseconds after a failure of the state service before regular work is retried. */
  public static final long STATE_RETRY_MS = 400;

  /**
   * Fraction of the shared rate limits of the state service and the cloud that all controllers
   * together plan to use.
   */
  public static final double RATE_LIMIT_FRACTION = 0.9;

  /**
   * Time in milliseconds without a response of the state service after which this controller is
   * isolated, if a peer does receive responses.
   */
  public static final long STATE_ISOLATION_TIMEOUT_MS = 2_600;

  /** Number of tasks whose completion bits are in one value of the first layout, 2 KiB raw. */
  public static final int BITS_PER_CHUNK = 16_384;

  /**
   * Number of tasks whose completion bits are stored in one value of the compact layout. The value
   * takes 1 KiB raw and less than 1.5 KiB encoded, so it fits the lowest announced value limit of 2
   * KiB.
   */
  public static final int BITS_PER_PIECE = 8_192;

  /** Fraction of a team's quota up to which its jobs receive reservations at once and keep them. */
  public static final double QUOTA_UNCONTENDED_FRACTION = 0.5;

  /** Interval in milliseconds between scans for jobs whose leader has ended. */
  public static final long JOB_FAILOVER_SCAN_INTERVAL_MS = 300;

  /**
   * Number of machines on which a job must fail before its failures are attributed to the job and
   * no longer to the machines.
   */
  public static final int JOB_FAULT_MACHINES = 4;

  /**
   * Initial delay in milliseconds of a backoff, such as that of a policy that found no capacity
   * (docs/design.md).
   */
  public static final long BACKOFF_INITIAL_MS = 1_000;

  /** Maximum delay in milliseconds of a backoff (docs/design.md). */
  public static final long BACKOFF_MAX_MS = 10_000;

  /**
   * Age in milliseconds above which a peer's status update is stale. Placement then uses the peer's
   * digest instead.
   */
  public static final long STATUS_UPDATE_STALE_MS = 4_000;

  /**
   * Time in milliseconds after which the status of an unchanged machine is published again. This
   * keeps the idle times and heartbeat ages at the peers approximately correct.
   */
  public static final long MACHINE_STATUS_REFRESH_MS = 4_000;

  /**
   * Time in milliseconds after which a command request without a response has an unknown outcome:
   * the worker may still execute the commands.
   */
  public static final long COMMAND_REQUEST_TIMEOUT_MS = 2_000;

  /**
   * Delay in milliseconds before the other controllers probe the machines of an ended controller
   * that have reported to no controller since. By then most workers have found another leader by
   * themselves.
   */
  public static final long MACHINE_FAILOVER_DELAY_MS = 3_000;

  /**
   * Maximum number of a restarted controller's machines that are being recovered at a time. Other
   * changes need a part of the state service's rate limit as well.
   */
  public static final int RECOVERY_CONCURRENCY = 4;

  /**
   * Minimum time in milliseconds between two scheduling passes. A pass examines all machines and
   * queued jobs, and status updates arrive many times a second.
   */
  public static final long PLACEMENT_PASS_INTERVAL_MIN_MS = 90;

  /**
   * Time in milliseconds after which a start is dropped if its machine leader has not sent it to
   * the worker, even if the job leader's lease lasts longer.
   */
  public static final long START_EXPIRY_MS = 8_000;

  /**
   * Time in milliseconds for which the target of a replica's relocation stays reserved and a faulty
   * machine isn't returned. This leaves time to save, to exit and to report the exit.
   */
  public static final long RELOCATION_RESERVATION_MS = 6_000;

  /**
   * Time in milliseconds after which a queued job of higher priority may preempt work of lower
   * priority.
   */
  public static final long PREEMPTION_DELAY_MS = 2_500;

  /**
   * Time in milliseconds after which a job that has no tasks on machines, and none of whose tasks
   * ran meanwhile, is placed before all other jobs. The largest job must begin within 4 minutes
   * however long an overload lasts, and part of that time is needed to free capacity and to fetch
   * an image.
   */
  public static final long STARVATION_MS = 90_000;

  /** Interval in milliseconds between two plans of the controller that leads the autoscaler. */
  public static final long AUTOSCALER_INTERVAL_MS = 1_500;

  /** Maximum number of machines per scale-in request (protocol). */
  public static final int SCALE_IN_MACHINES_MAX = 100;

  /**
   * Time in milliseconds after which a starting controller listens to users and workers even if it
   * can't serve them yet. Without the state service they receive a Retry-After.
   */
  public static final long LISTEN_DELAY_MAX_MS = 5_000;

  /** Maximum size of a request body in bytes (protocol). */
  public static final int BODY_MAX_BYTES = 64 << 10;

  /** Maximum number of ended jobs that are kept in memory to answer queries without a read. */
  public static final int TERMINAL_JOBS_CACHE_MAX = 4_000;

  /**
   * Time in milliseconds for which the rest of an oversized body is read and discarded before the
   * connection is closed.
   */
  public static final long BODY_DISCARD_MS = 1_000;

  /** Time in seconds after which a connection without a request is closed. */
  public static final int IDLE_CONNECTION_TIMEOUT_S = 60;

  /** Interval in milliseconds between scans for idle connections and for too slow requests. */
  public static final long CONNECTION_SWEEP_INTERVAL_MS = 1_000;

  /** Time in seconds within which a request that has begun to arrive must be complete. */
  public static final int REQUEST_READ_TIMEOUT_S = 10;
}
