package org.vaneworks.cli;

import com.fasterxml.jackson.databind.node.ArrayNode;
import java.util.OptionalLong;
import java.util.concurrent.Callable;
import org.vaneworks.coordination.configuration.ConfigurationChange;
import org.vaneworks.coordination.configuration.ConflictException;
import org.vaneworks.protocol.Json;
import org.vaneworks.state.ConfigurationHead;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Applies a configuration change atomically. */
@Command(name = "apply", description = "Makes a change, all of it or nothing.")
final class ApplyCommand implements Callable<Integer> {
  @Mixin private StoreOptions store;
  @Mixin private ChangeOptions options;

  @Option(names = "--only-at", description = "The only version that the change may replace.")
  private Long onlyAt;

  @Override
  public Integer call() {
    ConfigurationChange change = options.read();
    OptionalLong expectedVersion = onlyAt == null ? OptionalLong.empty() : OptionalLong.of(onlyAt);
    ConfigurationHead head = apply(change, expectedVersion);
    long version =
        head.history().stream()
            .filter(record -> record.changeId().equals(change.changeId()))
            .findFirst()
            .map(record -> record.version())
            .orElse(head.version());
    store.print(
        Json.object()
            .put("version", version)
            .put("changeId", change.changeId())
            .put("resources", change.keys().size()));
    return ExitCodes.OK;
  }

  private ConfigurationHead apply(ConfigurationChange change, OptionalLong expectedVersion) {
    try {
      return store.edit(editor -> editor.apply(change, expectedVersion));
    } catch (ConflictException e) {
      ArrayNode rows =
          store.edit(editor -> editor.load().thenApply(now -> Difference.between(now, change)));
      System.err.println("vaneworks: what the change would do to the version in force now:");
      System.err.println(OutputFormat.TABLE.print(rows));
      throw e;
    }
  }
}
