package mallowstall.users;

/** A submission as the protocol shows it. */
public final class Examples {
  public static final String JOB = SubmissionTest.GOOD;

  private Examples() {}
}
