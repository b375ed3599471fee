package mallowstall;

/** Every constant of the service, with its unit and the reason for its value. */
public final class Constants {
  private Constants() {}

  // ---- clocks -------------------------------------------------------------------------------
  /** Count. Jobs whose grants one transaction changes at most. */
  public static final int QUOTA_RESERVATIONS_PER_TRANSACTION = 10;

  /** Fraction. Steady clocks of two machines drift apart by at most this much (protocol). */
  public static final double CLOCK_DRIFT_FRACTION = 0.0005;

  /** ms. Core tick: short against the half second between a worker's reports. */
  public static final long TICK_MS = 100;

  /**
   * ms. One tick's lateness counts so much at most: a process that stood still isn't overloaded.
   */
  public static final long LAG_SAMPLE_MAX_MS = 300;

  /** Fraction. Weight of the newest tick in the average lag: it follows a load within 2 s. */
  public static final double LAG_WEIGHT = 0.1;

  /** Factor. Gaps between rounds and between statements grow by so much of the average lag. */
  public static final double LAG_GAP_FACTOR = 3;

  /**
   * ms. Gaps grow by so much at most: an overloaded controller still places and tells twice a
   * second.
   */
  public static final long LAG_GAP_MAX_MS = 350;

  // ---- state service ------------------------------------------------------------------------
  /** ms. Session lease: long enough for a few lost renewals, short enough to be missed soon. */
  public static final long SESSION_LEASE_MS = 5_000;

  /** ms. Renewal period: four tries fit into a lease. */
  public static final long SESSION_RENEWAL_INTERVAL_MS = 1_200;

  /** ms. A holder stops starting this long before its lease can end. */
  public static final long SESSION_MARGIN_MS = 500;

  /** ms. How long a watch waits: also bounds how old the mirror's freshness can be. */
  public static final long WATCH_TIMEOUT_MS = 2_000;

  /** ms. Pause between watches, so that a burst of changes doesn't spend the request budget. */
  public static final long WATCH_PAUSE_MS = 60;

  /** ms. A request to the state service without an answer by then has an unknown outcome. */
  public static final long STATE_TIMEOUT_MS = 1_500;

  /** ms. Wait after a failure of the state service before the next try of a standing duty. */
  public static final long STATE_RETRY_MS = 400;

  /**
   * Count. Most operations waiting for the state service's budget; beyond it callers are refused.
   */
  public static final int STATE_QUEUE_MAX = 200;

  /** Count. Connections to the state service besides the watch; requests are not pipelined. */
  public static final int STATE_CONNECTIONS = 6;

  /** Count. Connections of the watch, which has its own so that it never waits for a request's. */
  public static final int WATCH_CONNECTIONS = 2;

  /** Fraction of the shared limits that all controllers together plan to spend. */
  public static final double STATE_RATE_FRACTION = 0.9;

  /** Count. Items asked for in one listing (protocol maximum is 1,000). */
  public static final int LIST_PAGE_SIZE = 500;

  /**
   * ms. Longest wait before a change that the state service calls too large is tried again: what it
   * needs is another layout or other limits, and each try costs everybody a change.
   */
  public static final long STATE_INVALID_RETRY_MAX_MS = 30_000;

  /**
   * ms. Longest wait before a change that was refused otherwise is tried again: for a rate that was
   * exceeded it is long, after an outage what waits is still recorded within seconds.
   */
  public static final long STATE_REJECTED_RETRY_MAX_MS = 3_200;

  /** Count. Tasks whose done bits stand in one value of the first layout: 2 KiB raw. */
  public static final int BITS_PER_CHUNK = 16_384;

  /**
   * Count. Tasks whose done bits stand in one value of the compact layout: 1 KiB raw and below 1.5
   * KiB encoded, so that they fit the lowest value limit announced, 2 KiB.
   */
  public static final int BITS_PER_PIECE = 8_192;

  /**
   * Count. Jobs of up to so many tasks have all done bits in their entry: at most 344 bytes
   * encoded, beside a description of about 500, and a change of one value each time.
   */
  public static final int INLINE_TASKS = 2_048;

  /** ms. Least time between two writes of one job's entry: finishes in between are one batch. */
  public static final long JOB_WRITE_INTERVAL_MIN_MS = 150;

  /** ms. Least time between two grant transactions of one team. */
  public static final long QUOTA_TRANSACTION_INTERVAL_MIN_MS = 60;

  /** Fraction of a team's limit up to which its jobs get their grants at once and keep them. */
  public static final double QUOTA_UNCONTENDED_FRACTION = 0.5;

  /** ms. A grant no task uses is given back after this time. */
  public static final long QUOTA_RESERVATION_IDLE_MS = 1_500;

  /** ms. Free-room digests (design page: every 5 seconds). */
  public static final long DIGEST_INTERVAL_MS = 5_000;

  /** Bytes. One machine's room in a digest, with its name at its longest seen. */
  public static final int FREE_CAPACITY_BYTES = 80;

  /** ms. Machines that turn to a controller within this are taken over in one change. */
  public static final long REGISTRATION_BATCH_WINDOW_MS = 40;

  /** ms. Machines that turn here join one change for so long while an earlier one is unanswered. */
  public static final long REGISTRATION_BATCH_WAIT_MAX_MS = 500;

  /** Bytes. One machine in such a change, with its names at their longest seen. */
  public static final int MACHINE_GROUP_MEMBER_BYTES = 100;

  /** ms. Between two looks for groups of machines that say nothing any more. */
  public static final long MACHINE_GROUP_SWEEP_INTERVAL_MS = 2_000;

  /** ms. For so long an orphaned job is left to the controller whose turn it is. */
  public static final long JOB_FAILOVER_TURN_MS = 2_000;

  /** ms. Between scans for jobs whose holder is gone. */
  public static final long JOB_FAILOVER_SCAN_INTERVAL_MS = 300;

  /** Count. Jobs taken over in one scan, to spread a dead holder's jobs over the survivors. */
  public static final int JOB_FAILOVER_BATCH = 4;

  // ---- peers --------------------------------------------------------------------------------
  /** ms. Heartbeat of a controller's roster to its peers. */
  public static final long STATUS_UPDATE_INTERVAL_MS = 1_000;

  /** ms. Least time between two rosters: joins what happens within one burst of reports. */
  public static final long STATUS_UPDATE_INTERVAL_MIN_MS = 120;

  /**
   * ms. A machine of which nothing new is to be said is told again after this, so that the idle
   * times and reports that peers know of stay about right.
   */
  public static final long MACHINE_STATUS_REFRESH_MS = 4_000;

  /** ms. Statements that only restate count as news of room for waiting policies this seldom. */
  public static final long REFRESH_CAPACITY_CHANGE_INTERVAL_MS = 1_000;

  /**
   * Count. Machines handed on that an owner remembers; beyond it peers are told all anew. More than
   * twice as many as the largest fleets have, which may all change owner twice.
   */
  public static final int RELEASED_MACHINES_MAX = 10_000;

  /**
   * Count. Cancellations kept to be told to peers that don't follow the state service: hundreds a
   * minute for as long as workers may be kept alive without it. Beyond it nobody's word counts.
   */
  public static final int CANCELLATIONS_MAX = 2_000;

  /** Count. Statements whose sending is remembered: more than a minute of them. */
  public static final int STATUS_UPDATE_TIMES_MAX = 600;

  /** ms. A peer's roster older than this is not used for placing; its digest is. */
  public static final long STATUS_UPDATE_STALE_MS = 4_000;

  /** Bytes. Largest message between controllers. */
  public static final int PEER_FRAME_MAX_BYTES = 4 << 20;

  /** Bytes. Longest text in such a message: names are far shorter. */
  public static final int PEER_TEXT_MAX_BYTES = 64 << 10;

  /** ms. Between attempts to connect to a peer. */
  public static final long PEER_RECONNECT_INTERVAL_MS = 700;

  /** Count. Connections accepted from peers at a time. */
  public static final int PEER_CONNECTIONS = 16;

  /** Bytes. Unsent data to a peer above which rosters are skipped (the next one says it all). */
  public static final int PEER_BACKLOG_MAX_BYTES = 512 << 10;

  // ---- workers ------------------------------------------------------------------------------
  /** ms. Added to a worker's lease and drift before its tasks are written off. */
  public static final long LEASE_EXPIRY_MARGIN_MS = 700;

  /** ms. Added to the cancellation arithmetic when the state service isn't heard. */
  public static final long CANCELLATION_MARGIN_MS = 5_000;

  /** ms. A machine silent this long gets no new tasks. */
  public static final long UNRESPONSIVE_AFTER_MS = 3_500;

  /** Count. Errors in a row, no success between, that set a machine aside. */
  public static final int QUARANTINE_ERRORS = 2;

  /** Count. Errors in a row after which a machine is replaced. */
  public static final int REPLACEMENT_ERRORS = 3;

  /** ms. How long a machine with too many errors gets no task, then it is tried again. */
  public static final long QUARANTINE_MS = 25_000;

  /** ms. Quarantine of a machine for one job after an error there. */
  public static final long JOB_MACHINE_COOLDOWN_MS = 15_000;

  /** Count. Machines on which a job may fail before it is taken for the job's own fault. */
  public static final int JOB_FAULT_MACHINES = 4;

  /** ms. A job that fails everywhere is tried this seldom. */
  public static final long JOB_FAULT_RETRY_INTERVAL_MS = 10_000;

  /** Count. Commands in one response, so that a line stays far below 64 KiB. */
  public static final int COMMANDS_PER_RESPONSE_MAX = 200;

  /** ms. Least time between two requests to one worker's own address: joins a burst of starts. */
  public static final long COMMAND_REQUEST_INTERVAL_MIN_MS = 30;

  /** ms. A worker that hasn't answered by then may still execute the commands. */
  public static final long COMMAND_REQUEST_TIMEOUT_MS = 2_000;

  /**
   * ms. After a controller's session has ended, its machines that have turned to nobody are asked
   * by the others: workers of a dead controller have come over by then.
   */
  public static final long MACHINE_FAILOVER_DELAY_MS = 3_000;

  /** ms. Between two looks for such machines. */
  public static final long MACHINE_FAILOVER_SCAN_INTERVAL_MS = 500;

  /** ms. Before the same machine is asked again: longer than the request's timeout. */
  public static final long MACHINE_FAILOVER_RETRY_MS = 5_000;

  /** Count. Machines asked in one look, within the sockets and the state service's changes. */
  public static final int MACHINE_FAILOVER_BATCH = 8;

  /** ms. A worker that was sent elsewhere and comes again within this is served where it is. */
  public static final long REDIRECT_REPEAT_MS = 20_000;

  /** ms. By how much the regular roster of a controller that works may be late. */
  public static final long STATUS_UPDATE_LATE_MS = 500;

  /**
   * ms. After its start a controller claims the machines of its former process that haven't
   * reported to anybody: the others have come back by then, and need no second write.
   */
  public static final long RECOVERY_DELAY_MS = 7_000;

  /** Count. Such claims under way at a time; a few, since others' changes need the rate as well. */
  public static final int RECOVERY_CONCURRENCY = 4;

  // ---- placement ----------------------------------------------------------------------------
  /** ms. A replica that has run for so long before it ended is started again at once. */
  public static final long REPLICA_STABLE_MS = 10_000;

  /**
   * s. What stopping a replica counts against stopping other work: more than any task's run time,
   * since it is served to somebody at every moment.
   */
  public static final double REPLICA_PREEMPTION_COST_S = 100_000;

  /**
   * ms. For so long the room that a replica moves to is kept, and a faulty machine isn't returned:
   * time to save, to exit, and for the report of it.
   */
  public static final long RELOCATION_RESERVATION_MS = 6_000;

  /** ms. A machine that had no room after all isn't tried again for that job for so long. */
  public static final long INSUFFICIENT_CAPACITY_COOLDOWN_MS = 3_000;

  /** ms. First wait of a policy that failed (design page). */
  public static final long BACKOFF_INITIAL_MS = 1_000;

  /** ms. Longest wait of a policy that failed (design page). */
  public static final long BACKOFF_MAX_MS = 10_000;

  /** ms. A start an owner hasn't passed on by then is dropped, whatever its holder's lease. */
  public static final long START_EXPIRY_MS = 8_000;

  /** ms. After a start's life, for clocks and the owner's own delay. */
  public static final long START_EXPIRY_MARGIN_MS = 1_000;

  /**
   * ms. Least time between two placement rounds: a round looks at all machines and waiting jobs,
   * and rosters come many times a second.
   */
  public static final long PLACEMENT_PASS_INTERVAL_MIN_MS = 90;

  /** Count. Starts sent in one placement round, bounding the work of a tick. */
  public static final int STARTS_PER_PASS_MAX = 120;

  /** ms. A waiting job of higher priority may stop lower work after this time. */
  public static final long PREEMPTION_DELAY_MS = 2_500;

  /** ms. A job within its team's guarantee may stop what other teams borrow after this time. */
  public static final long GUARANTEE_PREEMPTION_DELAY_MS = 6_000;

  /** Count. Tasks of one job started in the place of lower work in one round. */
  public static final int PREEMPTIONS_PER_PASS_MAX = 32;

  /** ms. Between two preemption rounds of one job. */
  public static final long PREEMPTION_INTERVAL_MIN_MS = 3_000;

  /**
   * Fraction of the estimate that a task must still be expected to take: estimates are often high.
   */
  public static final double ESTIMATE_REMAINING_FRACTION = 0.8;

  /**
   * Seconds of slack that a second of a job's own work weighs: of like slack the smaller goes
   * first.
   */
  public static final double SLACK_PER_WORK_FACTOR = 3;

  /**
   * ms. A job that has nothing on machines and of which nothing ran for so long comes before all
   * others: the largest must begin within 4 minutes however long an overload lasts, and room must
   * still free itself and an image be fetched.
   */
  public static final long STARVATION_MS = 90_000;

  /** ms. For so long, and then again after three times as long, room is left to starving jobs. */
  public static final long STARVATION_YIELD_MS = 8_000;

  /** ms. How long a job leaves free room to other controllers' jobs that come before it. */
  public static final long OUTRANKED_YIELD_MS = 2_500;

  /**
   * ms. Without an answer of the state service for so long, while a peer has some: cut off alone.
   */
  public static final long STATE_CUT_OFF_MS = 2_600;

  /** ms. A machine that refused a start isn't tried again for that job for so long. */
  public static final long START_REJECTED_COOLDOWN_MS = 1_000;

  /** ms. The same when its owner only hadn't heard of the job: the length of a watch's round. */
  public static final long REPLICA_LAG_COOLDOWN_MS = 150;

  // ---- fleet --------------------------------------------------------------------------------
  /** ms. Between fleet plans of the controller with the cloud duty. */
  public static final long AUTOSCALER_INTERVAL_MS = 1_500;

  /** ms. Between machine lists. */
  public static final long INVENTORY_INTERVAL_MS = 8_000;

  /** ms. After a capacity refusal that type, zone and kind is not asked for again for so long. */
  public static final long SCALE_OUT_REJECTED_COOLDOWN_MS = 15_000;

  /** ms. After a rental is answered the next plan follows so soon, as more may be missing. */
  public static final long AUTOSCALER_FOLLOW_UP_MS = 300;

  /** Factor. Machines rented per machine needed: some boot late, or never. */
  public static final double SCALE_OUT_FACTOR = 1.1;

  /** Machines. A need is rounded up only if it is above a whole number by this. */
  public static final double SCALE_OUT_ROUNDING = 0.05;

  /** Factor. Machines kept per machine needed now. */
  public static final double RETENTION_FACTOR = 1.2;

  /** Factor. Machines kept per machine needed on average. */
  public static final double RETENTION_AVERAGE_FACTOR = 1.15;

  /** Fraction of the need that must be missing before ordinary machines replace spot ones. */
  public static final double ON_DEMAND_FALLBACK_FRACTION = 0.15;

  /** Count. One of so many machines of a type may be drained by one plan. */
  public static final int DRAIN_BATCH_DIVISOR = 6;

  /** Machines. A trace of demand: rounded up, it asks for one machine. */
  public static final double DEMAND_MIN_MACHINES = 0.01;

  /** Tasks. More than so many of one job on a machine aren't told apart. */
  public static final double TASKS_PER_MACHINE_MAX = 1_000;

  /** Tasks that a machine holds by a resource of which they take nothing. */
  public static final double TASKS_UNLIMITED = 1e9;

  /** Fraction of the boot time: tasks of a shorter life need less than their own machines. */
  public static final double SHORT_RUN_BOOT_FRACTION = 0.8;

  /** s. The shortest such life, whatever the boot time. */
  public static final double SHORT_RUN_MIN_S = 20;

  /** Amounts that differ by less are equal, whatever their unit: sums of decimals are inexact. */
  public static final double AMOUNT_EPSILON = 1e-6;

  /** The same for sums of a few decimals, in processors, GPUs, GB or tasks. */
  public static final double ROUNDING_EPSILON = 1e-9;

  /** Count. New machines sent to another controller that are remembered: more than a fleet has. */
  public static final int REDIRECTS_MAX = 10_000;

  /** s. What a stopped task gets beyond the time that it needs to save. */
  public static final double CHECKPOINT_SAVE_MARGIN_S = 1;

  /** s. A task is stopped to save when its machine goes so long after it could have saved. */
  public static final double INTERRUPTION_SAVE_MARGIN_S = 4;

  /** Count. Most machines per rental (protocol). */
  public static final int SCALE_OUT_MACHINES_MAX = 50;

  /** Count. Most names per return (protocol). */
  public static final int SCALE_IN_MACHINES_MAX = 100;

  /** ms. Request to the cloud without an answer by then has failed. */
  public static final long CLOUD_TIMEOUT_MS = 5_000;

  /** Count. Connections to the cloud. */
  public static final int CLOUD_CONNECTIONS = 2;

  /** ms. An idle machine not needed by the plan is returned after this. */
  public static final long SCALE_IN_IDLE_MS = 40_000;

  /** ms. The same for ordinary machines, which cost a multiple of spot ones. */
  public static final long SCALE_IN_IDLE_ON_DEMAND_MS = 30_000;

  /** Fraction of the average demand that idle ordinary machines are kept for. */
  public static final double ON_DEMAND_FLOOR_FRACTION = 0.8;

  /** Factor on an owner's estimate when machines are planned by it: it is often too low. */
  public static final double ESTIMATE_FACTOR = 1.2;

  /** Count. Most tasks planned to run one after the other in one place. */
  public static final double WAVES_MAX = 2;

  /** ms. A replica without room for longer has a machine rented for it alone. */
  public static final long REPLICA_UNPLACEABLE_MS = 5_000;

  /** ms. The same of a batch job of which no task has room, beside services. */
  public static final long BATCH_UNPLACEABLE_MS = 20_000;

  /** Factor on the usual boot time after which a machine is taken for one that never boots. */
  public static final double BOOT_TIMEOUT_FACTOR = 4.0;

  /** s. No machine is given up sooner, however short the boot time of its type. */
  public static final double BOOT_TIMEOUT_MIN_S = 60;

  /** s. When a machine of an unknown type is given up. */
  public static final double BOOT_TIMEOUT_UNKNOWN_TYPE_S = 120;

  /**
   * ms. Added to the report interval: a machine with replicas that is silent for longer is
   * returned, as the proof that they are gone. Its tasks would be lost with its lease some seconds
   * later.
   */
  public static final long UNRESPONSIVE_REPLICA_HOST_MARGIN_MS = 5_000;

  /** s. With less than this left of its notice a silent machine is taken for gone. */
  public static final double INTERRUPTION_IMMINENT_S = 2;

  /** ms. Added to a worker's lease: a machine silent for longer is returned. */
  public static final long UNRESPONSIVE_SCALE_IN_MARGIN_MS = 12_000;

  /**
   * ms. Within this and one and a half report intervals a worker whose controller has ended has
   * turned to another: 4 s for the missing answer, 1 s before the next try, and some for the
   * adoption.
   */
  public static final long WORKER_REREGISTRATION_MS = 7_500;

  /** ms. A drain request is forgotten after this if the machine wasn't returned. */
  public static final long DRAIN_EXPIRY_MS = 20_000;

  /** ms. Time constant of the average of used processors that keeps a warm floor of machines. */
  public static final double USAGE_TIME_CONSTANT_MS = 90_000;

  /** Factor on the average urgent demand: arrivals come in bursts. */
  public static final double RESERVE_FACTOR = 2.0;

  /** Fraction of a type's machines that may be kept for urgent work. */
  public static final double RESERVE_MAX_FRACTION = 0.35;

  /**
   * ms. A returned machine may stay in lists for twice their lag; nothing more is asked about it.
   */
  public static final long SCALE_IN_MEMORY_MS = 60_000;

  /** Count. Jobs whose smallest fitting type is remembered: more than are ever open at once. */
  public static final int SMALLEST_TYPE_CACHE_MAX = 2_000;

  // ---- users --------------------------------------------------------------------------------
  /**
   * ms. After so long a starting controller listens to users and workers even if it can't take
   * their requests yet: when the state service is away they are told so, with a Retry-After.
   */
  public static final long LISTEN_DELAY_MAX_MS = 5_000;

  /** Bytes. Largest request body (protocol). */
  public static final int BODY_MAX_BYTES = 64 << 10;

  /** Count. Most tasks of one job (protocol). */
  public static final int TASKS_MAX = 100_000;

  /** s. Shortest and longest Retry-After told to a user. */
  public static final int RETRY_AFTER_MIN_S = 1;

  public static final int RETRY_AFTER_MAX_S = 20;

  /**
   * ms. What was read for a user longer ago than this is not told any more: he may have cancelled
   * elsewhere since. Longer than the state service takes now and then, and than peers take to tell.
   */
  public static final long READ_MAX_AGE_MS = 1_000;

  /** Count. Final jobs kept in memory to answer polls without a read. */
  public static final int TERMINAL_JOBS_CACHE_MAX = 4_000;

  /** ms. How long the rest of a body that is too large is read and dropped before closing. */
  public static final long BODY_DISCARD_MS = 1_000;

  /** s. A connection without a request for so long is closed. */
  public static final int IDLE_CONNECTION_TIMEOUT_S = 60;

  /** ms. Between two looks for such connections, and for requests that come too slowly. */
  public static final long CONNECTION_SWEEP_INTERVAL_MS = 1_000;

  /** s. A request that has begun to arrive must be complete within this. */
  public static final int REQUEST_READ_TIMEOUT_S = 10;

  /**
   * MB. Least memory of a controller's machine: 65 to 90 MB were seen in use (operations page), and
   * a process that reaches its machine's limit is killed in the middle of whatever it does.
   */
  public static final int MEMORY_MIN_MB = 100;

  /** Fraction of the sockets that users and workers may use. */
  public static final double SERVER_SOCKET_FRACTION = 0.7;

  /** Count. Sockets that this process may open, if the settings don't limit them. */
  public static final int MAX_CONNECTIONS_DEFAULT = 500;

  /** ms. A stopping event loop ends once nothing has come for so long. */
  public static final long STOP_QUIET_MS = 50;

  /** ms. A stopping event loop ends after this in any case. */
  public static final long STOP_TIMEOUT_MS = 500;

  /** Fraction of the sockets kept open to workers' own addresses. */
  public static final double WORKER_CLIENT_SOCKET_FRACTION = 0.2;

  /** Bits of an attempt number below the epoch: a new holder's attempts exceed all earlier ones. */
  public static final int ATTEMPT_BITS = 24;
}
