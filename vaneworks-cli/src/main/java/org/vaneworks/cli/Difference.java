package org.vaneworks.cli;

import com.fasterxml.jackson.databind.node.ArrayNode;
import java.util.Optional;
import java.util.function.Function;
import org.vaneworks.coordination.configuration.ConfigurationChange;
import org.vaneworks.coordination.configuration.StoredConfiguration;
import org.vaneworks.protocol.Json;
import org.vaneworks.protocol.ResourceJson;
import org.vaneworks.state.ResourceKey;
import org.vaneworks.state.Template;
import org.vaneworks.state.Workspace;

/** Computes the difference that a change would make to the configuration in force. */
final class Difference {
  private Difference() {}

  /** Returns one row for each resource that the change would add, modify or delete. */
  static ArrayNode between(StoredConfiguration current, ConfigurationChange change) {
    ArrayNode rows = Json.list();
    for (ResourceKey key : change.keys()) {
      Optional<Record> before = current.resource(key);
      Optional<Record> after = resource(change, key);
      if (!before.equals(after)) {
        rows.addObject()
            .put("action", action(before, after))
            .put("resource", key.toString())
            .put("before", before.map(r -> Json.write(ResourceJson.write(r))).orElse(""))
            .put("after", after.map(r -> Json.write(ResourceJson.write(r))).orElse(""));
      }
    }
    return rows;
  }

  private static String action(Optional<Record> before, Optional<Record> after) {
    if (before.isEmpty()) {
      return "add";
    }
    return after.isEmpty() ? "delete" : "change";
  }

  private static Optional<Record> resource(ConfigurationChange change, ResourceKey key) {
    if (change.deletions().contains(key)) {
      return Optional.empty();
    }
    return switch (key.kind()) {
      case TEMPLATE -> byName(change.templates(), key.name(), Template::name);
      case WORKSPACE -> byName(change.workspaces(), key.name(), Workspace::name);
    };
  }

  private static <T extends Record> Optional<Record> byName(
      Iterable<T> resources, String name, Function<T, String> nameOf) {
    for (T resource : resources) {
      if (nameOf.apply(resource).equals(name)) {
        return Optional.of(resource);
      }
    }
    return Optional.empty();
  }
}
