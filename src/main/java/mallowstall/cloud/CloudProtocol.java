package mallowstall.cloud;

/**
 * Paths and field names of the cloud's HTTP interface. Each constant is named after its usual
 * meaning. Its value is sent or received, so it never changes.
 */
final class CloudProtocol {
  private CloudProtocol() {}

  // requests
  static final String TYPES_PATH = "/flavors";
  static final String MACHINES_PATH = "/machines";
  static final String SCALE_IN_PATH = "/machines/return";

  // machine types
  static final String TYPES = "calibres";
  static final String TYPE_NAME = "label";
  static final String CPUS = "vcpus";
  static final String GPUS = "gpus";
  static final String MEMORY_GB = "mem_gb";
  static final String CACHE_GB = "local_gb";
  static final String FETCH_GB_PER_S = "fetch_gb_per_s";
  static final String PRICE = "rate";
  static final String SPOT_PRICE = "market_price";
  static final String BOOT_S = "ready_s";
  static final String ZONES = "patios";

  // scale-out requests
  static final String REQUEST_NAME = "alquiler";
  static final String MACHINE_TYPE = "calibre";
  static final String ZONE = "patio";
  static final String SPOT = "prestados";
  static final String COUNT = "how_many";

  // machines
  static final String MACHINES = "sierras";
  static final String HAS_MORE = "has_next";
  static final String MACHINE = "ref";
  static final String STATE = "estado";
  static final String AGE_S = "held_s";

  /**
   * Returns the path of the inventory page that follows the machine {@code afterId}, or of the
   * first page if {@code afterId} is null.
   */
  static String inventoryPath(String afterId, int pageSize) {
    return MACHINES_PATH
        + "?"
        + (afterId == null ? "" : "after=" + afterId + "&")
        + "page="
        + pageSize;
  }
}
