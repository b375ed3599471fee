package mallowstall.core;

/** A point at which a process can stall, between reading its clock and sending a message. */
enum StallPoint {
  /** The process has decided to read the job's entry. It sends the read after the stall. */
  BEFORE_READ_SENT,

  /** The response to the read has arrived. Messages that result from it leave after the stall. */
  AFTER_READ_ANSWERED,

  /** The process has granted a lease to a peer. It sends the reply after the stall. */
  BEFORE_GRANT_SENT,

  /** The reply that grants a lease to a peer has been sent. */
  AFTER_GRANT_SENT,

  /** The process has decided on the answer to a user. The write starts after the stall. */
  BEFORE_WRITE,

  /** The write of the answer to a user has started. The answer leaves after the stall. */
  AFTER_VALIDITY_CHECK
}
