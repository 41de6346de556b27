package org.vaneworks.cli;

import com.fasterxml.jackson.databind.node.ArrayNode;
import java.util.concurrent.Callable;
import org.vaneworks.coordination.configuration.ConfigurationChange;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** Prints the effect of a change without applying it. */
@Command(name = "plan", description = "Shows what a change would do; writes nothing.")
final class PlanCommand implements Callable<Integer> {
  @Mixin private StoreOptions store;
  @Mixin private ChangeOptions options;

  @Override
  public Integer call() {
    ConfigurationChange change = options.read();
    ArrayNode rows =
        store.edit(
            editor -> editor.load().thenApply(current -> Difference.between(current, change)));
    if (rows.isEmpty()) {
      System.err.println("vaneworks: no difference");
      return ExitCodes.OK;
    }
    store.print(rows);
    return ExitCodes.DIFFERENT;
  }
}
