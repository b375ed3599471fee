package mallowstall.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletionException;
import mallowstall.Controller;
import mallowstall.config.Settings;
import mallowstall.policy.Policies;
import mallowstall.policy.PolicyDiagnostic;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** The command line. */
@Command(
    name = "mallowstall",
    description = "A cluster scheduler with several controllers.",
    mixinStandardHelpOptions = true,
    versionProvider = Main.Version.class,
    subcommands = {Main.Check.class, WarmUp.class},
    sortOptions = false)
public final class Main implements Callable<Integer> {
  /** Checks a policy file. */
  @Command(
      name = "check",
      description = "Check a policy file: every fault with file, line and column.",
      mixinStandardHelpOptions = true)
  static final class Check implements Callable<Integer> {
    @Parameters(paramLabel = "FILE", description = "The policy file.")
    private Path file;

    @Override
    public Integer call() {
      Policies policies;
      try {
        policies = Policies.load(file);
      } catch (IOException failure) {
        System.err.println("mallowstall: " + file + " can't be read");
        return 1;
      }
      for (PolicyDiagnostic diagnostic : policies.diagnostics()) {
        System.err.println(diagnostic.format(file.toString()));
      }
      if (policies.isUsable()) {
        System.out.println(file + ": ok");
      }
      return policies.isUsable() ? 0 : 1;
    }
  }

  /** The version that the package was built with. */
  static final class Version implements CommandLine.IVersionProvider {
    @Override
    public String[] getVersion() {
      String v = Main.class.getPackage().getImplementationVersion();
      return new String[] {"mallowstall " + (v == null ? "(unpackaged)" : v)};
    }
  }

  @Option(names = CONFIG, paramLabel = "FILE", description = "Serve with these settings (JSON).")
  private Path config;

  @Option(
      names = "--policies",
      paramLabel = "FILE",
      description = "Use these policies instead of the bundled ones.")
  private Path policies;

  private static final String CONFIG = "--config";
  private static final int SERVING = -1;

  /** The entrance of the program. */
  public static void main(String[] args) throws Exception {
    logging();
    int code = isPlainServe(args) ? serve(Path.of(args[1]), null) : execute(args);
    if (code != SERVING) {
      System.exit(code);
    }
  }

  private static int execute(String[] args) {
    return new CommandLine(new Main()).execute(args);
  }

  /**
   * Whether the arguments are those of the deploy file and nothing else. They need no parser, and
   * picocli, whose old class files no class archive takes, was a third of the processor time from
   * exec to serving.
   */
  static boolean isPlainServe(String[] args) {
    return args.length == 2 && args[0].equals(CONFIG) && !args[1].startsWith("-");
  }

  private static void logging() {
    String level = System.getenv("LOG_LEVEL");
    level = level == null ? "info" : level.toLowerCase(Locale.ROOT);
    if (!level.equals("error") && !level.equals("debug")) {
      level = "info";
    }
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

  @Override
  public Integer call() throws Exception {
    if (config == null) {
      System.err.println("mallowstall: --config FILE is missing");
      new CommandLine(this).usage(System.err);
      return CommandLine.ExitCode.USAGE;
    }
    return serve(config, policies);
  }

  /** Serves with these settings and policies (null: the bundled ones) until killed. */
  private static int serve(Path config, Path policies) throws InterruptedException {
    Settings settings;
    try {
      settings = Settings.load(config);
    } catch (Settings.Invalid invalid) {
      System.err.println("mallowstall: settings: " + invalid.getMessage());
      return 1;
    }
    Policies book = Policies.bundled();
    if (policies != null) {
      try {
        book = Policies.load(policies);
      } catch (IOException failure) {
        System.err.println("mallowstall: " + policies + " can't be read");
        return 1;
      }
      for (PolicyDiagnostic diagnostic : book.diagnostics()) {
        System.err.println(diagnostic.format(policies.toString()));
      }
      if (!book.isUsable()) {
        return 1;
      }
    }
    Controller controller = new Controller(settings, book);
    controller.start();
    try {
      controller.address().join();
    } catch (CompletionException failure) {
      System.err.println(
          "mallowstall: can't listen on " + settings.listen() + ": " + failure.getCause());
      return 1;
    }
    return SERVING;
  }
}
