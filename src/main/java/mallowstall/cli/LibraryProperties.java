package mallowstall.cli;

import java.util.Locale;

/** System properties that the libraries read when their classes are initialised. */
final class LibraryProperties {
  private static final String LOG = "org.slf4j.simpleLogger.";
  private static final String NETTY = "io.netty.";

  private LibraryProperties() {}

  /** Sets the properties. This method must be called before the first logger is created. */
  static void set() {
    System.setProperty(LOG + "defaultLogLevel", "warn");
    System.setProperty(LOG + "log.mallowstall", logLevel(System.getenv("LOG_LEVEL")));
    System.setProperty(LOG + "showThreadName", "false");
    System.setProperty(LOG + "showShortLogName", "false");
    // Netty uses unpooled heap buffers without leak detection. Netty doesn't look up the hardware
    // address and the process id at start, because both are given here.
    System.setProperty(NETTY + "noUnsafe", "true");
    System.setProperty(NETTY + "allocator.type", "unpooled");
    System.setProperty(NETTY + "leakDetection.level", "disabled");
    System.setProperty(NETTY + "machineId", "00:00:00:00:00:01");
    System.setProperty(NETTY + "processId", "1");
  }

  /** Returns the level of the service's own loggers: error or debug if wanted, otherwise info. */
  static String logLevel(String wanted) {
    String level = wanted == null ? "info" : wanted.toLowerCase(Locale.ROOT);
    return level.equals("error") || level.equals("debug") ? level : "info";
  }
}
