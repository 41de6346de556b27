package org.vaneworks.protocol;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import com.fasterxml.jackson.dataformat.yaml.YAMLGenerator;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import com.google.common.collect.ImmutableList;
import java.io.IOException;

/** Reads and writes JSON and YAML trees. */
public final class Json {
  private static final ObjectMapper JSON =
      JsonMapper.builder()
          .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .build();
  private static final ObjectMapper YAML =
      YAMLMapper.builder(
              YAMLFactory.builder()
                  .disable(YAMLGenerator.Feature.WRITE_DOC_START_MARKER)
                  .enable(YAMLGenerator.Feature.MINIMIZE_QUOTES)
                  .build())
          .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
          .build();

  private Json() {}

  /** Returns an empty object. */
  public static ObjectNode object() {
    return JsonNodeFactory.instance.objectNode();
  }

  /** Returns an empty list. */
  public static ArrayNode list() {
    return JsonNodeFactory.instance.arrayNode();
  }

  /** Returns a list of strings. */
  static ArrayNode texts(Iterable<String> texts) {
    ArrayNode list = list();
    texts.forEach(list::add);
    return list;
  }

  /**
   * Parses a JSON document.
   *
   * @throws InvalidFieldException if the text is not valid JSON
   */
  public static JsonNode parse(String text) {
    try {
      JsonNode node = JSON.readTree(text);
      if (node == null || node.isMissingNode()) {
        throw new InvalidFieldException("document", "is empty");
      }
      return node;
    } catch (JsonProcessingException e) {
      throw new InvalidFieldException("document", "is not JSON: " + e.getOriginalMessage());
    }
  }

  /**
   * Parses the documents of a YAML file.
   *
   * @throws InvalidFieldException if the text is not valid YAML
   */
  public static ImmutableList<JsonNode> parseYaml(String text) {
    try (var documents = YAML.readerFor(JsonNode.class).<JsonNode>readValues(text)) {
      return ImmutableList.copyOf(documents);
    } catch (IOException | RuntimeException e) {
      String message = String.valueOf(e.getMessage()).lines().findFirst().orElse("");
      throw new InvalidFieldException("document", "is not YAML: " + message);
    }
  }

  /** Returns a tree as JSON on one line. */
  public static String write(JsonNode node) {
    return node.toString();
  }

  /** Returns a tree as YAML. */
  public static String writeYaml(JsonNode node) {
    try {
      return YAML.writeValueAsString(node);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(e);
    }
  }
}
