package mallowstall.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletionException;
import mallowstall.Controller;
import mallowstall.config.Settings;
import mallowstall.policy.Policies;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** The entry point and the root command, which starts a controller. */
@Command(
    name = "mallowstall",
    description = "A cluster scheduler with several controllers.",
    mixinStandardHelpOptions = true,
    versionProvider = VersionProvider.class,
    subcommands = {CheckCommand.class, WarmUp.class},
    sortOptions = false)
public final class Main implements Callable<Integer> {
  private static final String CONFIG = "--config";

  /**
   * Returned in place of an exit code if the controller has started. A thread of the controller
   * keeps the process alive until the process is killed.
   */
  private static final int SERVING = -1;

  @Option(names = CONFIG, paramLabel = "FILE", description = "Serve with these settings (JSON).")
  private Path config;

  @Option(
      names = "--policies",
      paramLabel = "FILE",
      description = "Use these policies instead of the bundled ones.")
  private Path policies;

  /**
   * Runs the command line. Returns if the controller has started, and exits the process otherwise.
   */
  public static void main(String[] args) throws Exception {
    LibraryProperties.set();
    int code = isConfigOnly(args) ? serve(Path.of(args[1]), null) : execute(args);
    if (code != SERVING) {
      System.exit(code);
    }
  }

  private static int execute(String[] args) {
    return new CommandLine(new Main()).execute(args);
  }

  /**
   * Returns whether the arguments are exactly {@code --config FILE}, as in deploy/service.toml. The
   * controller starts without picocli in this case, because loading picocli's classes took a third
   * of the processor time from process start to serving. The class archive can't contain these
   * classes, because their class-file version is too old.
   */
  static boolean isConfigOnly(String[] args) {
    return args.length == 2 && args[0].equals(CONFIG) && !args[1].startsWith("-");
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

  /**
   * Starts a controller.
   *
   * @param config the settings file
   * @param policyFile the policy file, or null for the bundled policies
   * @return {@link #SERVING}, or an exit code if the controller can't start
   */
  private static int serve(Path config, Path policyFile) throws InterruptedException {
    Settings settings;
    try {
      settings = Settings.load(config);
    } catch (Settings.Invalid invalid) {
      System.err.println("mallowstall: settings: " + invalid.getMessage());
      return 1;
    }
    Policies policies = Policies.bundled();
    if (policyFile != null) {
      try {
        policies = Policies.load(policyFile);
      } catch (IOException failure) {
        System.err.println("mallowstall: " + policyFile + " can't be read");
        return 1;
      }
      CheckCommand.printDiagnostics(policies, policyFile);
      if (!policies.isUsable()) {
        return 1;
      }
    }
    Controller controller = new Controller(settings, policies);
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
