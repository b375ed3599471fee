package mallowstall.cli;

import picocli.CommandLine.IVersionProvider;

/** The version that the package was built with. */
final class VersionProvider implements IVersionProvider {
  @Override
  public String[] getVersion() {
    String version = Main.class.getPackage().getImplementationVersion();
    return new String[] {"mallowstall " + (version == null ? "(unpackaged)" : version)};
  }
}
