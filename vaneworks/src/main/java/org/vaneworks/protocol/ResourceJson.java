package org.vaneworks.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import java.util.Locale;
import java.util.Map;
import java.util.function.Function;
import org.vaneworks.state.CallRule;
import org.vaneworks.state.ParameterSpec;
import org.vaneworks.state.ParameterType;
import org.vaneworks.state.ServiceSpec;
import org.vaneworks.state.Setting;
import org.vaneworks.state.Template;
import org.vaneworks.state.Workspace;

/**
 * Reads and writes templates and workspaces as trees, for operators' YAML files and for the JSON of
 * configuration pages.
 */
public final class ResourceJson {
  private static final int MAX_STRING = 4096;

  private ResourceJson() {}

  /**
   * Reads a resource.
   *
   * @return a {@link Template} or a {@link Workspace}
   * @throws InvalidFieldException if a field is missing, unknown or invalid
   */
  public static Record read(JsonNode node) {
    FieldReader fields = FieldReader.of("", node);
    String kind = fields.text("kind");
    Record resource =
        switch (kind) {
          case "template" -> readTemplate(fields);
          case "workspace" -> readWorkspace(fields);
          default -> throw fields.invalid("kind", "is " + kind + ", allowed: template, workspace");
        };
    fields.rejectUnknown();
    return resource;
  }

  /** Returns the document of a {@link Template} or {@link Workspace}. */
  public static ObjectNode write(Record resource) {
    return resource instanceof Template template
        ? writeTemplate(template)
        : writeWorkspace((Workspace) resource);
  }

  private static Template readTemplate(FieldReader fields) {
    FieldReader model = fields.object("model");
    FieldReader limits = fields.objectOrEmpty("limits");
    FieldReader bounds = fields.objectOrEmpty("bounds");
    Template template =
        new Template(
            fields.text("name"),
            readAll(fields.objects("parameters"), ResourceJson::readParameter),
            new Setting(model.text("name")),
            new Setting(model.text("layers")),
            readAll(fields.objects("services"), ResourceJson::readService),
            new Setting(limits.text("maxInFlight", "1000")),
            new Setting(limits.text("maxQueue", "100")),
            new Setting(limits.text("maxTokens", "1024")),
            new Setting(bounds.text("firstTokenMs", "520")),
            new Setting(bounds.text("betweenTokensMs", "74")),
            new Setting(fields.text("priority", "normal")),
            new Setting(fields.text("weight", "1")));
    model.rejectUnknown();
    limits.rejectUnknown();
    bounds.rejectUnknown();
    return template;
  }

  private static <T> ImmutableList<T> readAll(
      ImmutableList<FieldReader> readers, Function<FieldReader, T> read) {
    return readers.stream().map(read).collect(ImmutableList.toImmutableList());
  }

  private static ParameterSpec readParameter(FieldReader fields) {
    ParameterType type = fields.oneOf("type", ParameterType.class, ParameterType.STRING);
    boolean isString = type == ParameterType.STRING;
    ParameterSpec parameter =
        new ParameterSpec(
            fields.text("name"),
            type,
            fields.optionalText("default"),
            fields.integer(
                "min", Integer.MIN_VALUE, Integer.MAX_VALUE, isString ? 0 : Integer.MIN_VALUE),
            fields.integer(
                "max",
                Integer.MIN_VALUE,
                Integer.MAX_VALUE,
                isString ? MAX_STRING : Integer.MAX_VALUE),
            fields.texts("values"));
    fields.rejectUnknown();
    return parameter;
  }

  private static ServiceSpec readService(FieldReader fields) {
    ServiceSpec service =
        new ServiceSpec(
            fields.text("name"), readAll(fields.objects("calls"), ResourceJson::readCall));
    fields.rejectUnknown();
    return service;
  }

  private static CallRule readCall(FieldReader fields) {
    CallRule rule =
        new CallRule(
            fields.text("method"),
            fields.text("pathPrefix", "/"),
            fields.bool("repeatable", false));
    fields.rejectUnknown();
    return rule;
  }

  private static Workspace readWorkspace(FieldReader fields) {
    return new Workspace(
        fields.text("name"), fields.text("template"), fields.textMap("parameters"));
  }

  private static ObjectNode writeTemplate(Template template) {
    ObjectNode node = Json.object().put("kind", "template").put("name", template.name());
    ArrayNode parameters = node.putArray("parameters");
    template.parameters().forEach(parameter -> parameters.add(writeParameter(parameter)));
    node.putObject("model")
        .put("name", template.model().text())
        .put("layers", template.layers().text());
    ArrayNode services = node.putArray("services");
    template.services().forEach(service -> services.add(writeService(service)));
    node.putObject("limits")
        .put("maxInFlight", template.maxInFlight().text())
        .put("maxQueue", template.maxQueue().text())
        .put("maxTokens", template.maxTokens().text());
    node.putObject("bounds")
        .put("firstTokenMs", template.firstTokenMs().text())
        .put("betweenTokensMs", template.betweenTokensMs().text());
    return node.put("priority", template.priority().text()).put("weight", template.weight().text());
  }

  private static ObjectNode writeParameter(ParameterSpec parameter) {
    ObjectNode node =
        Json.object()
            .put("name", parameter.name())
            .put("type", parameter.type().name().toLowerCase(Locale.ROOT));
    parameter.defaultValue().ifPresent(value -> node.put("default", value));
    node.put("min", parameter.min()).put("max", parameter.max());
    if (!parameter.values().isEmpty()) {
      node.set("values", Json.texts(parameter.values()));
    }
    return node;
  }

  private static ObjectNode writeService(ServiceSpec service) {
    ObjectNode node = Json.object().put("name", service.name());
    ArrayNode calls = node.putArray("calls");
    for (CallRule rule : service.calls()) {
      calls
          .addObject()
          .put("method", rule.method())
          .put("pathPrefix", rule.pathPrefix())
          .put("repeatable", rule.repeatable());
    }
    return node;
  }

  private static ObjectNode writeWorkspace(Workspace workspace) {
    ObjectNode node =
        Json.object()
            .put("kind", "workspace")
            .put("name", workspace.name())
            .put("template", workspace.template());
    ObjectNode arguments = node.putObject("parameters");
    workspace.arguments().entrySet().stream()
        .sorted(Map.Entry.comparingByKey())
        .forEach(entry -> arguments.put(entry.getKey(), entry.getValue()));
    return node;
  }
}
