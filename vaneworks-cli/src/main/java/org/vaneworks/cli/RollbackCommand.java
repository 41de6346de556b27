package org.vaneworks.cli;

import java.util.UUID;
import java.util.concurrent.Callable;
import org.vaneworks.protocol.Json;
import org.vaneworks.state.ConfigurationHead;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Restores the resources of an earlier version as a new version. */
@Command(
    name = "rollback",
    description = "Brings an earlier version's resources back, as a new, higher version.")
final class RollbackCommand implements Callable<Integer> {
  @Mixin private StoreOptions store;

  @Parameters(paramLabel = "VERSION", description = "The version to bring back.")
  private long version;

  @Option(names = "--author", defaultValue = "${env:USER:-unknown}", description = "Who asks.")
  private String author;

  @Override
  public Integer call() {
    String changeId = UUID.randomUUID().toString();
    ConfigurationHead head = store.edit(editor -> editor.rollback(version, changeId, author));
    store.print(Json.object().put("version", head.version()).put("changeId", changeId));
    return ExitCodes.OK;
  }
}
