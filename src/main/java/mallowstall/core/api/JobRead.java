package mallowstall.core.api;

import mallowstall.core.model.JobEntry;

/**
 * The result of reading a job's entry from the state service.
 *
 * @param status whether there is an entry; {@code job} and {@code modRevision} are set only with
 *     {@code FOUND}
 * @param job the entry as read; null unless found
 * @param modRevision the revision of the state service at which the entry was last written
 * @param validUntilMs steady time in milliseconds until which a response based on the read may be
 *     sent
 */
record JobRead(Status status, JobEntry job, long modRevision, long validUntilMs) {
  /** Whether an entry was found. */
  enum Status {
    FOUND,
    /** There is no entry, and no controller has reported the job as accepted. */
    NOT_FOUND,
    /** No entry was found, but some controller may have reported the job as accepted since. */
    UNCONFIRMED,
    /** The entry was not read, or it was read too long ago for a response. */
    UNAVAILABLE
  }

  static final JobRead UNCONFIRMED = new JobRead(Status.UNCONFIRMED, null, 0, 0);
  static final JobRead UNAVAILABLE = new JobRead(Status.UNAVAILABLE, null, 0, 0);

  static JobRead found(JobEntry job, long modRevision, long validUntilMs) {
    return new JobRead(Status.FOUND, job, modRevision, validUntilMs);
  }

  static JobRead notFound(long validUntilMs) {
    return new JobRead(Status.NOT_FOUND, null, 0, validUntilMs);
  }
}
