package org.vaneworks.cli;

import java.util.concurrent.Callable;
import org.vaneworks.coordination.configuration.ConfigurationChange;
import org.vaneworks.state.ConfigurationSnapshot;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** Validates files without access to the store. */
@Command(
    name = "validate",
    description = "Checks files by themselves: workspaces need their templates among them.")
final class ValidateCommand implements Callable<Integer> {
  @Mixin private ChangeOptions options;

  @Override
  public Integer call() {
    ConfigurationChange change = options.read();
    var unused = ConfigurationSnapshot.of(0, change.templates(), change.workspaces());
    System.out.println("accepted: " + change.keys().size() + " resources");
    return ExitCodes.OK;
  }
}
