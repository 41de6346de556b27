package org.vaneworks.tests;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import org.junit.jupiter.api.Test;
import org.vaneworks.protocol.Json;
import org.vaneworks.protocol.ResourceJson;
import org.vaneworks.state.ConfigurationSnapshot;
import org.vaneworks.state.Template;
import org.vaneworks.state.Workspace;

/** Tests reading, writing and validating templates and workspaces. */
final class ResourceJsonTest {
  private static final String TEMPLATE =
      "{kind: template, name: t, model: {name: m, layers: 4}, limits: {maxTokens: '${length}'},"
          + " parameters: [{name: length, type: integer, min: 1, max: 9}]}";

  private static Record read(String yaml) {
    return ResourceJson.read(Json.parseYaml(yaml).get(0));
  }

  private static ConfigurationSnapshot configuration(String workspace) {
    return ConfigurationSnapshot.of(
        1,
        ImmutableList.of((Template) read(TEMPLATE)),
        ImmutableList.of((Workspace) read(workspace)));
  }

  private static void assertRejected(Runnable reading, String... parts) {
    IllegalArgumentException problem = assertThrows(IllegalArgumentException.class, reading::run);
    for (String part : parts) {
      assertTrue(problem.getMessage().contains(part), problem.getMessage());
    }
  }

  @Test
  void writtenTemplateReadsBackEqual() {
    Record template = read(TEMPLATE);
    assertEquals(template, ResourceJson.read(ResourceJson.write(template)));
  }

  @Test
  void parametersAreSubstituted() {
    ConfigurationSnapshot snapshot =
        configuration("{kind: workspace, name: w, template: t, parameters: {length: 5}}");
    assertEquals(5, snapshot.plan("w").orElseThrow().maxTokens());
  }

  @Test
  void parameterOutOfBoundsIsRejected() {
    assertRejected(
        () -> configuration("{kind: workspace, name: w, template: t, parameters: {length: 10}}"),
        "workspace/w",
        "parameters.length",
        "1 to 9");
  }

  @Test
  void missingParameterIsRejected() {
    assertRejected(
        () -> configuration("{kind: workspace, name: w, template: t}"),
        "parameters.length",
        "must be given");
  }

  @Test
  void unknownParameterIsRejected() {
    assertRejected(
        () ->
            configuration("{kind: workspace, name: w, template: t, parameters: {length: 1, x: 2}}"),
        "parameters.x",
        "not in the template");
  }

  @Test
  void unknownTemplateIsRejected() {
    assertRejected(
        () -> configuration("{kind: workspace, name: w, template: other}"), "none is named other");
  }

  @Test
  void invalidNameIsRejected() {
    assertRejected(
        () -> read("{kind: workspace, name: W, template: t}"), "name is W", "lower case letters");
  }

  @Test
  void unknownKindIsRejected() {
    assertRejected(() -> read("{kind: thing, name: x}"), "kind", "template, workspace");
  }

  @Test
  void unknownFieldIsRejected() {
    assertRejected(
        () -> read("{kind: template, name: t, model: {name: m, layer: 4}}"), "model.layer");
  }
}
