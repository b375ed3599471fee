package mallowstall.core.model;

/** Why it isn't known whether tasks of a job are running. */
public enum UnknownCause {
  /** Nobody has been asked yet, or nothing was recorded. */
  NOT_OBSERVED,
  /** The controller doesn't lead the job, and has no machine with a running task of it. */
  NOT_LEADER,
  /** Attempts of a former leader of the job may be on machines that haven't reported since. */
  FORMER_ATTEMPTS_UNKNOWN,
  /** An attempt is on a machine without an entry in the state replica. */
  MACHINE_WITHOUT_ENTRY,
  /** A worker's last report is too old, and it hasn't answered a request for another. */
  REPORT_TOO_OLD,
  /** More workers would have to be asked for a report than may be asked at a time. */
  INSPECTION_LIMIT,
  /** There is no moment at which no task was running on any of the machines. */
  NO_COMMON_MOMENT,
  /** A controller that is to be asked can be reached neither directly nor by the state service. */
  PEER_UNREACHABLE,
  /** Too many questions wait for an answer. */
  QUESTION_LIMIT,
  /** A controller that was asked doesn't know. */
  PEER_DOES_NOT_KNOW,
  /** A controller that was asked hasn't answered in time. */
  NO_ANSWER_IN_TIME
}
