package mallowstall.state;

/**
 * Words of the state service's HTTP interface, by their standard meaning. They stand on the wire,
 * so none ever changes.
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

  /** The path of one key. */
  static String keyPath(String key) {
    return KEYS_PATH + "/" + key;
  }

  /** The path of a page of keys after this one; null: from the first. */
  static String listPath(String after, int pageSize) {
    return KEYS_PATH
        + "?under="
        + KEY_PREFIX
        + (after == null ? "" : "&after=" + after)
        + "&page="
        + pageSize;
  }

  /** The path of the changes after a revision, which the service holds back for so long at most. */
  static String changesPath(long afterRevision, long holdMs) {
    return CHANGES_PATH + "?under=" + KEY_PREFIX + "&after=" + afterRevision + "&hold_ms=" + holdMs;
  }

  /** The path that renews a lease. */
  static String renewPath(long lease) {
    return LEASES_PATH + "/" + lease + "/renew";
  }
}
