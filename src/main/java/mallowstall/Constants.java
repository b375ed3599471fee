package mallowstall;

/**
 * Every constant of the service, with its unit and the reason for its value or its source. Ordered
 * by concern: clocks and numbers, state service, quota, jobs, peers, machines, placement,
 * autoscaling, users and the process.
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
   * ms. One tick's lateness counts so much at most: a process that stood still isn't overloaded.
   */
  public static final long LAG_SAMPLE_MAX_MS = 300;

  /** Fraction. Weight of the newest tick in the average lag: it follows a load within 2 s. */
  public static final double LAG_WEIGHT = 0.1;

  /** Factor. Gaps between passes and between status updates grow by so much of the average lag. */
  public static final double LAG_GAP_FACTOR = 3;

  /**
   * ms. Gaps grow by so much at most: an overloaded controller still places and publishes twice a
   * second.
   */
  public static final long LAG_GAP_MAX_MS = 350;

  /**
   * Processors, GPUs or GB. Amounts that differ by less are equal: sums of decimals are inexact.
   */
  public static final double AMOUNT_EPSILON = 1e-6;

  /** Processors, GPUs, GB or tasks. The same for a comparison after one or two operations. */
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

  /** ms. Between renewals of the session: four fit into a lease. */
  public static final long SESSION_RENEWAL_INTERVAL_MS = 1_200;

  /** ms. A job leader stops starting tasks this long before its lease can end. */
  public static final long SESSION_MARGIN_MS = 500;

  /** ms. A watch without changes returns after this: bounds the age of the state replica. */
  public static final long WATCH_TIMEOUT_MS = 2_000;

  /** ms. Pause between watches, so that a burst of changes doesn't spend the request budget. */
  public static final long WATCH_PAUSE_MS = 60;

  /** ms. A request to the state service without a response by then has an unknown outcome. */
  public static final long STATE_TIMEOUT_MS = 1_500;

  /** ms. Wait after a failure of the state service before regular work tries again. */
  public static final long STATE_RETRY_MS = 400;

  /**
   * Count. Most operations waiting for the state service's budget; beyond it callers are rejected.
   */
  public static final int STATE_QUEUE_MAX = 200;

  /** Count. Connections to the state service besides the watch; requests are not pipelined. */
  public static final int STATE_CONNECTIONS = 6;

  /** Count. Connections of the watch, its own so that it never waits for another request's. */
  public static final int WATCH_CONNECTIONS = 2;

  /** Fraction of the shared rate limits that all controllers together plan to spend. */
  public static final double STATE_RATE_FRACTION = 0.9;

  /** Count. Items asked for in one listing (the maximum of the protocol is 1,000). */
  public static final int LIST_PAGE_SIZE = 500;

  /**
   * ms. Longest wait before a change that is too large for the state service is tried again: it
   * needs another layout or other limits, and each try costs all controllers a change.
   */
  public static final long STATE_INVALID_RETRY_MAX_MS = 30_000;

  /**
   * ms. Longest wait before a change that was rejected otherwise is tried again: long for an
   * exceeded rate, yet after an outage all that waits is recorded within seconds.
   */
  public static final long STATE_REJECTED_RETRY_MAX_MS = 3_200;

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

  /**
   * Count. Jobs of up to so many tasks have all completion bits in their entry: at most 344 bytes
   * encoded, beside a description of about 500, and a change of one value each time.
   */
  public static final int INLINE_TASKS = 2_048;

  /** ms. Least time between two writes of one job's entry: completions in between are one batch. */
  public static final long JOB_WRITE_INTERVAL_MIN_MS = 150;

  /** ms. Between two digests of free capacity (docs/design.md: every 5 seconds). */
  public static final long DIGEST_INTERVAL_MS = 5_000;

  /** Bytes. One machine's free capacity in a digest, with the longest name seen. */
  public static final int FREE_CAPACITY_BYTES = 80;

  /** Count. Most jobs whose quota reservations one transaction changes. */
  public static final int QUOTA_RESERVATIONS_PER_TRANSACTION = 10;

  /** ms. Least time between two quota transactions of one team. */
  public static final long QUOTA_TRANSACTION_INTERVAL_MIN_MS = 60;

  /** Fraction of a team's quota up to which its jobs get reservations at once and keep them. */
  public static final double QUOTA_UNCONTENDED_FRACTION = 0.5;

  /** ms. A quota reservation that no task uses is released after this time. */
  public static final long QUOTA_RESERVATION_IDLE_MS = 1_500;

  /** ms. A job without a leader is left to the controller whose turn it is for so long. */
  public static final long JOB_FAILOVER_TURN_MS = 2_000;

  /** ms. Between scans for jobs whose leader has ended. */
  public static final long JOB_FAILOVER_SCAN_INTERVAL_MS = 300;

  /**
   * Count. Most jobs taken in one scan: spreads an ended leader's jobs over the other controllers.
   */
  public static final int JOB_FAILOVER_BATCH = 4;

  /** ms. A job gets no task on a machine for so long after an error there. */
  public static final long JOB_MACHINE_COOLDOWN_MS = 15_000;

  /** Count. Machines on which a job may fail before the fault is taken for the job's own. */
  public static final int JOB_FAULT_MACHINES = 4;

  /** ms. Between tries of a job that fails everywhere. */
  public static final long JOB_FAULT_RETRY_INTERVAL_MS = 10_000;

  /** Count. Ends of a replica as done on one machine that show that its result is kept there. */
  public static final int KEPT_RESULT_ENDS = 2;

  /** ms. It isn't tried there for so long: above a boot, below the 90 s that work may wait. */
  public static final long KEPT_RESULT_MS = 60_000;

  /** ms. Ends are forgotten after so long: one more try is enough until then to know again. */
  public static final long KEPT_RESULT_MEMORY_MS = 2 * KEPT_RESULT_MS;

  /** ms. A replica that ran for so long before it ended is started again at once. */
  public static final long REPLICA_STABLE_MS = 10_000;

  /** ms. First wait of a policy that failed (docs/design.md). */
  public static final long BACKOFF_INITIAL_MS = 1_000;

  /** ms. Longest wait of a policy that failed (docs/design.md). */
  public static final long BACKOFF_MAX_MS = 10_000;

  /** ms. Between two status updates to a peer when nothing changes. */
  public static final long STATUS_UPDATE_INTERVAL_MS = 1_000;

  /** ms. Least time between two status updates: joins what happens in one burst of heartbeats. */
  public static final long STATUS_UPDATE_INTERVAL_MIN_MS = 120;

  /** ms. A peer's status update older than this isn't used for placement; its digest is. */
  public static final long STATUS_UPDATE_STALE_MS = 4_000;

  /** ms. By how much a working controller's regular status update may be late. */
  public static final long STATUS_UPDATE_LATE_MS = 500;

  /** Count. Status updates whose time of sending is kept: more than a minute of them. */
  public static final int STATUS_UPDATE_TIMES_MAX = 600;

  /**
   * ms. The status of an unchanged machine is published again after this: keeps idle times and
   * heartbeat ages at the peers about right.
   */
  public static final long MACHINE_STATUS_REFRESH_MS = 4_000;

  /**
   * ms. Least time between two refreshes without news that count as changed capacity for waiting
   * policies.
   */
  public static final long REFRESH_CAPACITY_CHANGE_INTERVAL_MS = 1_000;

  /**
   * Count. Released machines that are remembered for incremental updates; beyond it peers get full
   * ones. More than twice the largest fleet, whose machines may all change leader twice.
   */
  public static final int RELEASED_MACHINES_MAX = 10_000;

  /**
   * Count. Cancellations kept for peers that don't follow the state service: hundreds a minute for
   * as long as workers may be kept alive without it. Beyond it no peer's account of cancellations
   * counts as complete.
   */
  public static final int CANCELLATIONS_MAX = 2_000;

  /** Bytes. Largest message between controllers. */
  public static final int PEER_FRAME_MAX_BYTES = 4 << 20;

  /** Bytes. Longest text in such a message: names are far shorter. */
  public static final int PEER_TEXT_MAX_BYTES = 64 << 10;

  /** ms. Between attempts to connect to a peer. */
  public static final long PEER_RECONNECT_INTERVAL_MS = 700;

  /** Count. Most connections accepted from peers at a time. */
  public static final int PEER_CONNECTIONS = 16;

  /**
   * Bytes. Unsent data to a peer above which status updates are skipped: the next one covers them.
   */
  public static final int PEER_BACKLOG_MAX_BYTES = 512 << 10;

  /** ms. Machines that report here first within this are registered in one change. */
  public static final long REGISTRATION_BATCH_WINDOW_MS = 40;

  /** ms. Registrations join one change for so long while an earlier one is unanswered. */
  public static final long REGISTRATION_BATCH_WAIT_MAX_MS = 500;

  /** Bytes. One machine in such a change, with the longest names seen. */
  public static final int MACHINE_GROUP_MEMBER_BYTES = 100;

  /** ms. Between scans for machine groups of which no member counts any more. */
  public static final long MACHINE_GROUP_SWEEP_INTERVAL_MS = 2_000;

  /** ms. Added to a worker's lease and the clock drift before its tasks count as lost. */
  public static final long LEASE_EXPIRY_MARGIN_MS = 700;

  /** ms. Of the cancellation deadline, kept in reserve when the state service can't be reached. */
  public static final long CANCELLATION_MARGIN_MS = 5_000;

  /** ms. A machine without a heartbeat for so long is unresponsive and gets no new tasks. */
  public static final long UNRESPONSIVE_AFTER_MS = 3_500;

  /** Count. Errors in a row, no success between, that put a machine into quarantine. */
  public static final int QUARANTINE_ERRORS = 2;

  /** Count. Errors in a row after which a machine is replaced. */
  public static final int REPLACEMENT_ERRORS = 3;

  /** ms. A machine in quarantine gets no task for so long, then it is tried again. */
  public static final long QUARANTINE_MS = 25_000;

  /** Count. Most commands in one heartbeat response: keeps a line far below 64 KiB. */
  public static final int COMMANDS_PER_RESPONSE_MAX = 200;

  /** ms. Least time between two requests to one worker's own address: joins a burst of starts. */
  public static final long COMMAND_REQUEST_INTERVAL_MIN_MS = 30;

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

  /** ms. Between two scans for such machines. */
  public static final long MACHINE_FAILOVER_SCAN_INTERVAL_MS = 500;

  /** ms. Before the same machine is asked again: longer than the request's timeout. */
  public static final long MACHINE_FAILOVER_RETRY_MS = 5_000;

  /** Count. Most machines asked in one scan: bounds sockets and changes of the state service. */
  public static final int MACHINE_FAILOVER_BATCH = 8;

  /**
   * ms. Within this and one and a half heartbeat intervals a worker whose controller has ended has
   * registered with another: 4 s for the missing response, 1 s before the next try, the rest for
   * the registration.
   */
  public static final long WORKER_REREGISTRATION_MS = 7_500;

  /** ms. A redirected worker that comes again within this is registered here. */
  public static final long REDIRECT_REPEAT_MS = 20_000;

  /** Count. New machines sent to another controller that are remembered: more than a fleet has. */
  public static final int REDIRECTS_MAX = 10_000;

  /**
   * ms. After its start a controller recovers the machines of its former process that have reported
   * to nobody: most workers have come back by then, and need no second write.
   */
  public static final long RECOVERY_DELAY_MS = 7_000;

  /** Count. Most such recoveries under way: other changes need the state service's rate as well. */
  public static final int RECOVERY_CONCURRENCY = 4;

  /** s. Grace period of a stopped task beyond the time that it needs to save a checkpoint. */
  public static final double CHECKPOINT_SAVE_MARGIN_S = 1;

  /**
   * s. A task is stopped to save a checkpoint if its machine is taken less than this after it could
   * have saved.
   */
  public static final double INTERRUPTION_SAVE_MARGIN_S = 4;

  /** s. With less than this left of its notice an unresponsive machine counts as removed. */
  public static final double INTERRUPTION_IMMINENT_S = 2;

  /** ms. A drain request expires after this if the machine wasn't returned. */
  public static final long DRAIN_EXPIRY_MS = 20_000;

  /**
   * ms. Least time between two scheduling passes: a pass looks at all machines and queued jobs, and
   * status updates come many times a second.
   */
  public static final long PLACEMENT_PASS_INTERVAL_MIN_MS = 90;

  /** Count. Most starts sent in one scheduling pass: bounds the work of a tick. */
  public static final int STARTS_PER_PASS_MAX = 120;

  /**
   * ms. A start that its machine leader hasn't sent to the worker by then is dropped, however long
   * the job leader's lease lasts.
   */
  public static final long START_EXPIRY_MS = 8_000;

  /** ms. Added to a start's expiry for clock skew and the machine leader's own delay. */
  public static final long START_EXPIRY_MARGIN_MS = 1_000;

  /** ms. A machine whose leader rejected a start isn't tried again for that job for so long. */
  public static final long START_REJECTED_COOLDOWN_MS = 1_000;

  /** ms. The same if the leader's state replica only lagged: about as long as a watch takes. */
  public static final long REPLICA_LAG_COOLDOWN_MS = 150;

  /** ms. A machine whose worker had no free capacity isn't tried again for that job for so long. */
  public static final long INSUFFICIENT_CAPACITY_COOLDOWN_MS = 3_000;

  /**
   * ms. The target of a moving replica is reserved, and a faulty machine isn't returned, for so
   * long: time to save, to exit, and for the report of it.
   */
  public static final long RELOCATION_RESERVATION_MS = 6_000;

  /** ms. A queued job of higher priority may preempt lower work after this time. */
  public static final long PREEMPTION_DELAY_MS = 2_500;

  /**
   * ms. A job within its team's guaranteed share may preempt what other teams borrow after this
   * time.
   */
  public static final long GUARANTEE_PREEMPTION_DELAY_MS = 6_000;

  /** Count. Most tasks of one job started in the place of preempted work in one pass. */
  public static final int PREEMPTIONS_PER_PASS_MAX = 32;

  /** ms. Least time between two preemptions for one job. */
  public static final long PREEMPTION_INTERVAL_MIN_MS = 3_000;

  /**
   * s. Work that counts as lost when a replica is preempted: more than any task's run time, since a
   * service is in use at every moment.
   */
  public static final double REPLICA_PREEMPTION_COST_S = 100_000;

  /**
   * Fraction of the estimate that a task must still be expected to take: estimates are often high.
   */
  public static final double ESTIMATE_REMAINING_FRACTION = 0.8;

  /**
   * s per s. Slack that a second of a job's own work weighs: of equal slack the smaller job goes
   * first.
   */
  public static final double SLACK_PER_WORK_FACTOR = 3;

  /**
   * ms. A job that has no tasks on machines and of which none ran for so long comes before all
   * others: the largest must begin within 4 minutes however long an overload lasts, and capacity
   * must still be freed and an image fetched.
   */
  public static final long STARVATION_MS = 90_000;

  /**
   * ms. Free capacity is left to starving jobs for so long, and again after three times as long.
   */
  public static final long STARVATION_YIELD_MS = 8_000;

  /** ms. A job leaves free capacity for so long to other controllers' jobs that rank before it. */
  public static final long OUTRANKED_YIELD_MS = 2_500;

  /** Tasks. More than so many of one job on a machine aren't told apart. */
  public static final double TASKS_PER_MACHINE_MAX = 1_000;

  /** Tasks that fit by a resource of which they take nothing. */
  public static final double TASKS_UNLIMITED = 1e9;

  /** ms. Between two plans of the controller that leads the autoscaler. */
  public static final long AUTOSCALER_INTERVAL_MS = 1_500;

  /** ms. The next plan follows a scale-out response so soon, as more may be missing. */
  public static final long AUTOSCALER_FOLLOW_UP_MS = 300;

  /** ms. Between two reads of the cloud's inventory. */
  public static final long INVENTORY_INTERVAL_MS = 8_000;

  /** ms. A request to the cloud without a response by then has failed. */
  public static final long CLOUD_TIMEOUT_MS = 5_000;

  /** Count. Connections to the cloud. */
  public static final int CLOUD_CONNECTIONS = 2;

  /** Count. Most machines per scale-out request (protocol). */
  public static final int SCALE_OUT_MACHINES_MAX = 50;

  /**
   * ms. After a lack of capacity in the cloud that type, zone and kind isn't asked for again for so
   * long.
   */
  public static final long SCALE_OUT_REJECTED_COOLDOWN_MS = 15_000;

  /** Factor. Machines requested per machine needed: some boot late, or never. */
  public static final double SCALE_OUT_FACTOR = 1.1;

  /** Machines. A need is rounded up only if it is above a whole number by this. */
  public static final double SCALE_OUT_ROUNDING = 0.05;

  /** Machines. The least demand that counts: rounded up, it asks for one machine. */
  public static final double DEMAND_MIN_MACHINES = 0.01;

  /** Fraction of the need that must be missing before on-demand machines replace spot ones. */
  public static final double ON_DEMAND_FALLBACK_FRACTION = 0.15;

  /** Fraction of the average demand for which idle on-demand machines are kept. */
  public static final double ON_DEMAND_FLOOR_FRACTION = 0.8;

  /** Factor. Machines kept per machine needed now. */
  public static final double RETENTION_FACTOR = 1.2;

  /** Factor. Machines kept per machine needed on average. */
  public static final double RETENTION_AVERAGE_FACTOR = 1.15;

  /** ms. Time constant of the average of used processors, by which a floor of machines is kept. */
  public static final double USAGE_TIME_CONSTANT_MS = 90_000;

  /** Factor on the average urgent demand: arrivals come in bursts. */
  public static final double RESERVE_FACTOR = 2.0;

  /** Fraction of a type's machines that may be kept for urgent work. */
  public static final double RESERVE_MAX_FRACTION = 0.35;

  /** Factor on a user's estimate when machines are planned by it: it is often too low. */
  public static final double ESTIMATE_FACTOR = 1.2;

  /** Count. Most tasks planned to run one after the other in one place. */
  public static final double WAVES_MAX = 2;

  /**
   * Fraction of the boot time: of tasks that run shorter, one counts for a part of a machine only.
   */
  public static final double SHORT_RUN_BOOT_FRACTION = 0.8;

  /** s. The least such run time, whatever the boot time. */
  public static final double SHORT_RUN_MIN_S = 20;

  /** ms. A replica that has found no machine for longer gets one requested for it alone. */
  public static final long REPLICA_UNPLACEABLE_MS = 5_000;

  /** ms. The same for a batch job of which no task fits beside services. */
  public static final long BATCH_UNPLACEABLE_MS = 20_000;

  /** ms. Most between two requests for a service whose replicas end wherever they run. */
  public static final long KEPT_RESULT_SCALE_OUT_MAX_MS = 600_000;

  /** Count. Jobs whose smallest fitting type is remembered: more than are ever open at once. */
  public static final int SMALLEST_TYPE_CACHE_MAX = 2_000;

  /** Factor on the usual boot time after which a machine is taken for one that never boots. */
  public static final double BOOT_TIMEOUT_FACTOR = 4.0;

  /** s. No machine is given up sooner, however short the boot time of its type. */
  public static final double BOOT_TIMEOUT_MIN_S = 60;

  /** s. When a machine of an unknown type is given up. */
  public static final double BOOT_TIMEOUT_UNKNOWN_TYPE_S = 120;

  /** Count. Most machines per scale-in request (protocol). */
  public static final int SCALE_IN_MACHINES_MAX = 100;

  /** ms. An idle machine that the plan doesn't need is returned after this. */
  public static final long SCALE_IN_IDLE_MS = 40_000;

  /** ms. The same for on-demand machines, which cost a multiple of spot ones. */
  public static final long SCALE_IN_IDLE_ON_DEMAND_MS = 30_000;

  /**
   * ms. A returned machine may stay in the inventory for twice its lag; no more requests are made
   * for it.
   */
  public static final long SCALE_IN_MEMORY_MS = 60_000;

  /** Count. One of so many machines of a type may be drained by one plan. */
  public static final int DRAIN_BATCH_DIVISOR = 6;

  /**
   * ms. Added to the heartbeat interval: a machine with replicas that is unresponsive for longer is
   * returned, which proves that they have ended. Its tasks would be lost with its lease some
   * seconds later.
   */
  public static final long UNRESPONSIVE_REPLICA_HOST_MARGIN_MS = 5_000;

  /** ms. Added to a worker's lease: a machine unresponsive for longer is returned. */
  public static final long UNRESPONSIVE_SCALE_IN_MARGIN_MS = 12_000;

  /**
   * ms. A starting controller listens to users and workers after this even if it can't serve them
   * yet: without the state service they get a Retry-After.
   */
  public static final long LISTEN_DELAY_MAX_MS = 5_000;

  /** Bytes. Largest request body (protocol). */
  public static final int BODY_MAX_BYTES = 64 << 10;

  /** Count. Most tasks of one job (protocol). */
  public static final int TASKS_MAX = 100_000;

  /** s. Shortest Retry-After in a response. */
  public static final int RETRY_AFTER_MIN_S = 1;

  /** s. Longest Retry-After in a response. */
  public static final int RETRY_AFTER_MAX_S = 20;

  /**
   * ms. A read older than this isn't used for a user's response: the user may have cancelled
   * elsewhere since. Longer than the state service takes now and then, and than status updates
   * take.
   */
  public static final long READ_MAX_AGE_MS = 1_000;

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

  /**
   * MB. Least memory of a controller's machine: 65 to 90 MB were seen in use (docs/operations.md),
   * and a process that reaches its machine's limit is killed in the middle of whatever it does.
   */
  public static final int MEMORY_MIN_MB = 100;

  /** Count. Sockets that this process may open, if the settings don't limit them. */
  public static final int MAX_CONNECTIONS_DEFAULT = 500;

  /** Fraction of the sockets that users and workers may use. */
  public static final double SERVER_SOCKET_FRACTION = 0.7;

  /** Fraction of the sockets kept open to workers' own addresses. */
  public static final double WORKER_CLIENT_SOCKET_FRACTION = 0.2;

  /** ms. A stopping event loop ends once nothing has come for so long. */
  public static final long STOP_QUIET_MS = 50;

  /** ms. A stopping event loop ends after this in any case. */
  public static final long STOP_TIMEOUT_MS = 500;
}
