package mallowstall.cli;

import picocli.CommandLine.IVersionProvider;

/** Provides the version in the manifest of the jar, or {@code (unpackaged)} if there is none. */
final class VersionProvider implements IVersionProvider {
  @Override
  public String[] getVersion() {
    String version = Main.class.getPackage().getImplementationVersion();
    return new String[] {"mallowstall " + (version == null ? "(unpackaged)" : version)};
  }
}
