package mallowstall.cli;

import java.util.Locale;

/** System properties that the libraries read when their classes are initialised. */
final class LibraryProperties {
  private static final String LOG = "org.slf4j.simpleLogger.";
  private static final String NETTY = "io.netty.";

  private LibraryProperties() {}

  /** Sets all of them; must come before the first logger is made. */
  static void set() {
    System.setProperty(LOG + "defaultLogLevel", "warn");
    System.setProperty(LOG + "log.mallowstall", logLevel(System.getenv("LOG_LEVEL")));
    System.setProperty(LOG + "showThreadName", "false");
    System.setProperty(LOG + "showShortLogName", "false");
    // heap buffers without pools and leak tracking; no look-ups of hardware and processes at start
    System.setProperty(NETTY + "noUnsafe", "true");
    System.setProperty(NETTY + "allocator.type", "unpooled");
    System.setProperty(NETTY + "leakDetection.level", "disabled");
    System.setProperty(NETTY + "machineId", "00:00:00:00:00:01");
    System.setProperty(NETTY + "processId", "1");
  }

  /** The level of the service's own loggers: error, info or debug; anything else is info. */
  static String logLevel(String wanted) {
    String level = wanted == null ? "info" : wanted.toLowerCase(Locale.ROOT);
    return level.equals("error") || level.equals("debug") ? level : "info";
  }
}
