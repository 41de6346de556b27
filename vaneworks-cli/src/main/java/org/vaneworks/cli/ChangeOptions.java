package org.vaneworks.cli;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import org.vaneworks.coordination.configuration.ConfigurationChange;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Command-line options that describe a configuration change. */
final class ChangeOptions {
  @Parameters(paramLabel = "FILE", arity = "0..*", description = "YAML files, or folders of them.")
  private List<Path> files = new ArrayList<>();

  @Option(names = "--delete", description = "A resource to remove, as KIND/NAME.")
  private List<String> deletions = new ArrayList<>();

  @Option(
      names = "--author",
      defaultValue = "${env:USER:-unknown}",
      description = "Who makes the change, for the history.")
  private String author;

  @Option(
      names = {"-m", "--message"},
      defaultValue = "",
      description = "For the history.")
  private String summary;

  ConfigurationChange read() {
    if (files.isEmpty() && deletions.isEmpty()) {
      throw new IllegalArgumentException("give at least one FILE or --delete");
    }
    return ResourceFiles.read(files, deletions, UUID.randomUUID().toString(), author, summary);
  }
}
