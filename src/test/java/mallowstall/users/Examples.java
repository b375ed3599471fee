package mallowstall.users;

/** Provides the example submission of the protocol to tests of other packages. */
public final class Examples {
  public static final String JOB = SubmissionTest.GOOD;

  private Examples() {}
}
