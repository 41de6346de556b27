package org.vaneworks.cli;

import com.fasterxml.jackson.databind.node.ArrayNode;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import org.vaneworks.coordination.configuration.ConfigurationEditor;
import org.vaneworks.coordination.configuration.StoredConfiguration;
import org.vaneworks.protocol.Json;
import org.vaneworks.protocol.ResourceJson;
import org.vaneworks.state.ResourceKey;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Prints one or all resources of a configuration version. */
@Command(name = "get", description = "Shows resources, all or one.")
final class GetCommand implements Callable<Integer> {
  @Mixin private StoreOptions store;

  @Parameters(arity = "0..1", paramLabel = "KIND/NAME", description = "Which one.")
  private String key;

  @Option(names = "--version", description = "An earlier version that the history remembers.")
  private Long version;

  @Override
  public Integer call() {
    StoredConfiguration stored = store.edit(this::load);
    if (key != null) {
      Record resource =
          stored
              .resource(ResourceKey.parse(key))
              .orElseThrow(() -> new IllegalArgumentException(key + " is not configured"));
      store.print(ResourceJson.write(resource));
      return ExitCodes.OK;
    }
    ArrayNode rows = Json.list();
    for (ResourceKey resourceKey : stored.snapshot().keys()) {
      rows.add(ResourceJson.write(stored.resource(resourceKey).orElseThrow()));
    }
    store.print(rows);
    return ExitCodes.OK;
  }

  private CompletableFuture<StoredConfiguration> load(ConfigurationEditor editor) {
    return version == null
        ? editor.load()
        : editor.load().thenCompose(current -> editor.loadArchived(current, version));
  }
}
