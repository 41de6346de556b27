package org.vaneworks.cli;

import org.vaneworks.coordination.configuration.ConflictException;
import org.vaneworks.coordination.store.StoreException;
import picocli.AutoComplete.GenerateCompletion;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** Entry point of the command {@code vaneworks}. */
@Command(
    name = "vaneworks",
    description = "Writes and reads the configuration of a vaneworks fleet.",
    mixinStandardHelpOptions = true,
    version = "vaneworks 0.1.0",
    subcommands = {
      ApplyCommand.class,
      PlanCommand.class,
      ValidateCommand.class,
      GetCommand.class,
      HistoryCommand.class,
      RollbackCommand.class,
      StatusCommand.class,
      ExplainCommand.class,
      TraceCommand.class,
      GenerateCompletion.class
    },
    exitCodeListHeading = "Exit codes:%n",
    exitCodeList = {
      "0:done",
      "1:failed on a fault of this program",
      "2:files or command line not accepted; nothing was written",
      "3:conflict with another operator's change; nothing was changed",
      "4:the platform's store does not answer; nothing was changed",
      "5:the outcome is not known; look for the change in the history",
      "6:status --wait: not in force everywhere in time",
      "7:plan: there are differences"
    })
public final class VaneworksMain {
  private VaneworksMain() {}

  /** Runs the command and exits with its exit code. */
  public static void main(String[] args) {
    System.exit(commandLine().execute(args));
  }

  static CommandLine commandLine() {
    return new CommandLine(new VaneworksMain())
        .setCaseInsensitiveEnumValuesAllowed(true)
        .setExecutionExceptionHandler((failure, line, parsed) -> reportFailure(failure));
  }

  private static int reportFailure(Exception failure) {
    System.err.println("vaneworks: " + failure.getMessage());
    if (failure instanceof ConflictException) {
      System.err.println("vaneworks: nothing was changed");
      return ExitCodes.CONFLICT;
    }
    if (failure instanceof StoreException store) {
      return store.mayHaveWritten() ? ExitCodes.OUTCOME_UNKNOWN : ExitCodes.STORE_UNAVAILABLE;
    }
    return failure instanceof IllegalArgumentException ? ExitCodes.NOT_ACCEPTED : ExitCodes.FAILED;
  }
}
