package mallowstall.net;

/** HTTP status codes that are used in the protocols of the controller. */
public final class HttpStatus {
  public static final int OK = 200;
  public static final int BAD_REQUEST = 400;
  public static final int NOT_FOUND = 404;
  public static final int METHOD_NOT_ALLOWED = 405;
  public static final int CONFLICT = 409;
  public static final int GONE = 410;
  public static final int MISDIRECTED_REQUEST = 421;
  public static final int INTERNAL_ERROR = 500;
  public static final int SERVICE_UNAVAILABLE = 503;

  private HttpStatus() {}
}
