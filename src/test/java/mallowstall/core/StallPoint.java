package mallowstall.core;

/** Where a process stands still, between its look at the clock and what it sends. */
enum StallPoint {
  /** A read of the job's entry has been decided on, and leaves after the stall. */
  BEFORE_READ_SENT,

  /** The read's answer has come; all that the process makes of it leaves after the stall. */
  AFTER_READ_ANSWERED,

  /** A lease has been granted to a peer, and the reply leaves after the stall. */
  BEFORE_GRANT_SENT,

  /** The reply that grants a lease has left. */
  AFTER_GRANT_SENT,

  /** A user's answer has been decided on, and the write begins after the stall. */
  BEFORE_WRITE,

  /** The write of a user's answer has begun, and the answer leaves after the stall. */
  AFTER_VALIDITY_CHECK
}
