package org.vaneworks.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.vaneworks.coordination.configuration.ConfigurationChange;
import org.vaneworks.protocol.Json;
import org.vaneworks.protocol.ResourceJson;
import org.vaneworks.state.ResourceKey;
import org.vaneworks.state.Template;
import org.vaneworks.state.Workspace;

/** Reads resources from YAML files. */
final class ResourceFiles {
  private ResourceFiles() {}

  /**
   * Returns the change that consists of the resources in files and of deletions.
   *
   * @param paths YAML files, or folders whose YAML files are read
   * @param deletions keys of the resources to delete, as {@code KIND/NAME}
   */
  static ConfigurationChange read(
      List<Path> paths, List<String> deletions, String changeId, String author, String summary) {
    ImmutableList.Builder<Template> templates = ImmutableList.builder();
    ImmutableList.Builder<Workspace> workspaces = ImmutableList.builder();
    for (Path file : filesOf(paths)) {
      int index = 0;
      for (JsonNode document : readFile(file)) {
        Record resource = readResource(file, index++, document);
        if (resource instanceof Template template) {
          templates.add(template);
        } else {
          workspaces.add((Workspace) resource);
        }
      }
    }
    ImmutableSet<ResourceKey> deletedKeys =
        deletions.stream().map(ResourceKey::parse).collect(ImmutableSet.toImmutableSet());
    return new ConfigurationChange(
        changeId, author, summary, templates.build(), workspaces.build(), deletedKeys);
  }

  private static ImmutableList<Path> filesOf(List<Path> paths) {
    ImmutableList.Builder<Path> files = ImmutableList.builder();
    for (Path path : paths) {
      if (!Files.isDirectory(path)) {
        files.add(path);
        continue;
      }
      try (Stream<Path> children = Files.list(path)) {
        children.filter(file -> file.toString().endsWith(".yaml")).sorted().forEach(files::add);
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }
    return files.build();
  }

  private static ImmutableList<JsonNode> readFile(Path file) {
    try {
      return Json.parseYaml(Files.readString(file));
    } catch (IOException e) {
      throw new IllegalArgumentException(file + ": can't be read: " + e, e);
    } catch (IllegalArgumentException e) {
      throw new IllegalArgumentException(file + ": " + e.getMessage(), e);
    }
  }

  private static Record readResource(Path file, int index, JsonNode document) {
    try {
      return ResourceJson.read(document);
    } catch (IllegalArgumentException e) {
      String message = file + ", document " + (index + 1) + ": " + e.getMessage();
      throw new IllegalArgumentException(message, e);
    }
  }
}
