package mallowstall.state;

/**
 * Paths, field names and texts of the state service's HTTP interface. Each constant is named after
 * its usual meaning. Its value is sent or received, so it never changes.
 */
final class StateProtocol {
  private StateProtocol() {}

  // requests
  private static final String KEY_PREFIX = "c/";
  static final String TRANSACTION_PATH = "/multi";
  private static final String KEYS_PATH = "/keys";
  private static final String CHANGES_PATH = "/changes";
  static final String LEASES_PATH = "/leases";

  // keys
  static final String KEY = "key";
  static final String VALUE = "data";
  static final String VERSION = "sello";
  static final String REVISION = "tirada";
  static final String LEASE = "permiso";

  // transactions and events
  static final String CONDITIONS = "when";
  static final String OPERATIONS = "then";
  static final String PUT = "set";
  static final String DELETE = "drop";

  // pages and changes
  static final String ENTRIES = "entries";
  static final String EVENTS = "events";
  static final String HAS_MORE = "has_next";

  // leases
  static final String LEASE_DURATION_MS = "life_ms";
  static final String NO_SUCH_LEASE = "no such lease";

  /** Returns the path that reads one key. */
  static String keyPath(String key) {
    return KEYS_PATH + "/" + key;
  }

  /**
   * Returns the path of the page of keys that follow {@code after}, or of the first page if null.
   */
  static String listPath(String after, int pageSize) {
    return KEYS_PATH
        + "?under="
        + KEY_PREFIX
        + (after == null ? "" : "&after=" + after)
        + "&page="
        + pageSize;
  }

  /**
   * Returns the path of the changes after a revision. If there are none yet, the service delays its
   * response until a change occurs, for at most {@code holdMs} milliseconds.
   */
  static String changesPath(long afterRevision, long holdMs) {
    return CHANGES_PATH + "?under=" + KEY_PREFIX + "&after=" + afterRevision + "&hold_ms=" + holdMs;
  }

  /** Returns the path that renews a lease. */
  static String renewPath(long lease) {
    return LEASES_PATH + "/" + lease + "/renew";
  }
}
