package org.vaneworks.cli;

import com.fasterxml.jackson.databind.node.ArrayNode;
import java.time.Instant;
import java.util.concurrent.Callable;
import org.vaneworks.coordination.configuration.StoredConfiguration;
import org.vaneworks.protocol.Json;
import org.vaneworks.state.ChangeRecord;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** Prints the most recent configuration changes, newest first. */
@Command(name = "history", description = "Shows the newest changes, newest first.")
final class HistoryCommand implements Callable<Integer> {
  @Mixin private StoreOptions store;

  @Override
  public Integer call() {
    StoredConfiguration stored = store.edit(editor -> editor.load());
    ArrayNode rows = Json.list();
    for (ChangeRecord record : stored.head().history()) {
      rows.addObject()
          .put("version", record.version())
          .put("at", Instant.ofEpochMilli(record.atMillis()).toString())
          .put("author", record.author())
          .put("changeId", record.changeId())
          .put("summary", record.summary());
    }
    store.print(rows);
    return ExitCodes.OK;
  }
}
