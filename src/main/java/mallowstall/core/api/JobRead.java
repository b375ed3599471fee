package mallowstall.core.api;

import mallowstall.core.model.JobEntry;

/**
 * The result of reading a job's entry from the state service.
 *
 * @param status whether there is an entry; the next two components count with {@code FOUND} only
 * @param job the entry as read; null unless found
 * @param modRevision the revision of the state service at which the entry was last written
 * @param validUntilMs steady ms until which a response that rests on the read may leave
 */
record JobRead(Status status, JobEntry job, long modRevision, long validUntilMs) {
  /** Whether the read has shown the entry. */
  enum Status {
    FOUND,
    /** There is no entry, and no controller has called the job accepted. */
    NOT_FOUND,
    /** The read showed no entry, but some controller may have called the job accepted since. */
    UNCONFIRMED,
    /** Not read, or read too long ago to be answered with. */
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
