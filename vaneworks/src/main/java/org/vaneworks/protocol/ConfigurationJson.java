package org.vaneworks.protocol;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedMap;
import org.vaneworks.coordination.configuration.ConfigurationFormat;
import org.vaneworks.coordination.configuration.ConfigurationPage;
import org.vaneworks.state.ChangeRecord;
import org.vaneworks.state.ConfigurationHead;
import org.vaneworks.state.Template;
import org.vaneworks.state.Workspace;

/** Encodes the head and the pages of the configuration as JSON. */
public final class ConfigurationJson implements ConfigurationFormat {
  private ConfigurationJson() {}

  /** Returns an instance of the format. */
  public static ConfigurationJson create() {
    return new ConfigurationJson();
  }

  @Override
  public String encodeHead(ConfigurationHead head) {
    ObjectNode node = Json.object().put("version", head.version()).put("changeId", head.changeId());
    ArrayNode pages = node.putArray("pages");
    head.pages().forEach((number, hash) -> pages.addObject().put("page", number).put("hash", hash));
    ArrayNode history = node.putArray("history");
    for (ChangeRecord record : head.history()) {
      history
          .addObject()
          .put("version", record.version())
          .put("changeId", record.changeId())
          .put("author", record.author())
          .put("atMillis", record.atMillis())
          .put("summary", record.summary());
    }
    return Json.write(node);
  }

  @Override
  public ConfigurationHead decodeHead(String text) {
    FieldReader fields = FieldReader.of("head", Json.parse(text));
    ImmutableSortedMap.Builder<Integer, String> pages = ImmutableSortedMap.naturalOrder();
    for (FieldReader page : fields.objects("pages")) {
      pages.put(page.integer("page", 0, ConfigurationHead.PAGES - 1), page.text("hash"));
    }
    ImmutableList.Builder<ChangeRecord> history = ImmutableList.builder();
    for (FieldReader record : fields.objects("history")) {
      history.add(
          new ChangeRecord(
              record.longInteger("version", 1, Long.MAX_VALUE),
              record.text("changeId"),
              record.text("author", ""),
              record.longInteger("atMillis", 0, Long.MAX_VALUE),
              record.text("summary", "")));
    }
    return new ConfigurationHead(
        fields.longInteger("version", 0, Long.MAX_VALUE),
        fields.text("changeId"),
        pages.buildOrThrow(),
        history.build());
  }

  @Override
  public String encodePage(ConfigurationPage page) {
    ArrayNode resources = Json.list();
    page.templates().forEach(template -> resources.add(ResourceJson.write(template)));
    page.workspaces().forEach(workspace -> resources.add(ResourceJson.write(workspace)));
    return Json.write(Json.object().set("resources", resources));
  }

  @Override
  public ConfigurationPage decodePage(String text) {
    ImmutableList.Builder<Template> templates = ImmutableList.builder();
    ImmutableList.Builder<Workspace> workspaces = ImmutableList.builder();
    Json.parse(text)
        .path("resources")
        .forEach(
            node -> {
              Record resource = ResourceJson.read(node);
              if (resource instanceof Template template) {
                templates.add(template);
              } else {
                workspaces.add((Workspace) resource);
              }
            });
    return new ConfigurationPage(templates.build(), workspaces.build());
  }
}
