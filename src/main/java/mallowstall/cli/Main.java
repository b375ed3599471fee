package mallowstall.cli;

import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.cfg.CoercionAction;
import com.fasterxml.jackson.databind.cfg.CoercionInputShape;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.type.LogicalType;
import java.nio.file.Path;
import java.util.Locale;
import java.util.concurrent.Callable;
import mallowstall.Service;
import mallowstall.config.Settings;
import mallowstall.policy.DefaultBook;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** The command line. */
@Command(
    name = "mallowstall",
    description = "A cluster scheduler with several controllers.",
    mixinStandardHelpOptions = true,
    versionProvider = Main.Version.class,
    sortOptions = false)
public final class Main implements Callable<Integer> {
  static final class Version implements CommandLine.IVersionProvider {
    @Override
    public String[] getVersion() {
      String v = Main.class.getPackage().getImplementationVersion();
      return new String[] {"mallowstall " + (v == null ? "(unpackaged)" : v)};
    }
  }

  @Option(
      names = "--config",
      paramLabel = "FILE",
      description = "Serve with these settings (JSON).")
  private Path config;

  public static void main(String[] args) {
    logging();
    int code = new CommandLine(new Main()).execute(args);
    if (code != SERVING) System.exit(code);
  }

  private static final int SERVING = -1;

  private static void logging() {
    String level = System.getenv("LOG_LEVEL");
    level = level == null ? "info" : level.toLowerCase(Locale.ROOT);
    if (!level.equals("error") && !level.equals("debug")) level = "info";
    String p = "org.slf4j.simpleLogger.";
    System.setProperty(p + "defaultLogLevel", "warn");
    System.setProperty(p + "log.mallowstall", level);
    System.setProperty(p + "showThreadName", "false");
    System.setProperty(p + "showShortLogName", "false");
    System.setProperty("io.netty.noUnsafe", "true");
    System.setProperty("io.netty.allocator.type", "unpooled");
    System.setProperty("io.netty.leakDetection.level", "disabled");
    System.setProperty("io.netty.machineId", "00:00:00:00:00:01");
    System.setProperty("io.netty.processId", "1");
  }

  /** JSON as the protocols want it: unknown fields ignored, nothing converted silently. */
  public static ObjectMapper json() {
    ObjectMapper m =
        JsonMapper.builder()
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .disable(MapperFeature.ALLOW_COERCION_OF_SCALARS)
            .disable(DeserializationFeature.ACCEPT_FLOAT_AS_INT)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .disable(JsonReadFeature.ALLOW_NON_NUMERIC_NUMBERS)
            .build();
    m.coercionConfigFor(LogicalType.Textual)
        .setCoercion(CoercionInputShape.Integer, CoercionAction.Fail)
        .setCoercion(CoercionInputShape.Float, CoercionAction.Fail)
        .setCoercion(CoercionInputShape.Boolean, CoercionAction.Fail);
    return m;
  }

  @Override
  public Integer call() throws Exception {
    if (config == null) {
      System.err.println("mallowstall: --config FILE is missing");
      new CommandLine(this).usage(System.err);
      return CommandLine.ExitCode.USAGE;
    }
    ObjectMapper json = json();
    Settings s;
    try {
      s = Settings.load(config, json);
    } catch (Settings.Invalid e) {
      System.err.println("mallowstall: settings: " + e.getMessage());
      return 1;
    }
    new Service(s, json, new DefaultBook()).start();
    return SERVING;
  }
}
