package org.vaneworks.protocol;

import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.vaneworks.state.HostPort;

/**
 * Reads and validates the fields of one object of a document.
 *
 * <p>A reader made by {@link #of} throws an {@link InvalidFieldException} at the first problem; the
 * message names the field, its value and the allowed values. A reader made by {@link #collecting}
 * returns a placeholder for an invalid value and continues; {@link #throwIfInvalid} then reports
 * all problems, and the values must not be used before. Not thread-safe.
 */
public final class FieldReader {
  /** Placeholder for an invalid address. */
  private static final HostPort PLACEHOLDER_ADDRESS = new HostPort("0.0.0.0", 0);

  private final String path;
  private final JsonNode node;
  private final Consumer<InvalidFieldException> problems;
  private final List<InvalidFieldException> collected;
  private final Set<String> namesRead = new HashSet<>();

  private FieldReader(
      String path,
      JsonNode node,
      Consumer<InvalidFieldException> problems,
      List<InvalidFieldException> collected) {
    this.path = path;
    this.node = node;
    this.problems = problems;
    this.collected = collected;
  }

  /**
   * Returns a reader of an object.
   *
   * @param path path of the object in the document, for error messages; empty for the root
   */
  public static FieldReader of(String path, JsonNode node) {
    checkNotNull(path);
    if (node == null || !node.isObject()) {
      throw new InvalidFieldException(path.isEmpty() ? "document" : path, "must be an object");
    }
    return new FieldReader(path, node, FieldReader::raise, ImmutableList.of());
  }

  /**
   * Returns a reader of a document that collects problems until {@link #throwIfInvalid}.
   *
   * @throws InvalidFieldException if the document is not an object
   */
  public static FieldReader collecting(JsonNode node) {
    FieldReader checked = FieldReader.of("", node);
    List<InvalidFieldException> collected = new ArrayList<>();
    return new FieldReader("", checked.node, collected::add, collected);
  }

  private static void raise(InvalidFieldException problem) {
    throw problem;
  }

  /**
   * Checks that this reader, and the readers of nested objects made by it, found no problem.
   *
   * @throws InvalidFieldException if there are problems; the message has a line for each
   */
  public void throwIfInvalid() {
    if (!collected.isEmpty()) {
      throw InvalidFieldException.all(collected);
    }
  }

  /** Throws an exception for a problem with a field, or collects it. */
  public void reject(String name, String problem) {
    problems.accept(invalid(name, problem));
  }

  private <T> T reject(String name, String problem, T placeholder) {
    reject(name, problem);
    return placeholder;
  }

  /** Returns the path of a field in the document. */
  public String pathOf(String name) {
    return path.isEmpty() ? name : path + "." + name;
  }

  /** Returns whether the field is present and not null. */
  public boolean has(String name) {
    return find(name).isPresent();
  }

  /** Returns a required string that must not be empty. */
  public String text(String name) {
    Optional<String> text = scalar(name);
    if (text.isEmpty()) {
      return reject(name, "must be given", "");
    }
    return text.get().isEmpty() ? reject(name, "must not be empty", "") : text.get();
  }

  /** Returns a string, or the default if it is absent. */
  public String text(String name, String defaultValue) {
    return scalar(name).orElse(defaultValue);
  }

  /** Returns a string, or empty if it is absent. */
  public Optional<String> optionalText(String name) {
    return scalar(name);
  }

  /** Returns a required IP address with a port. */
  public HostPort address(String name) {
    String text = text(name);
    return text.isEmpty() ? PLACEHOLDER_ADDRESS : parseAddress(name, text);
  }

  /** Returns an IP address with a port, or empty if it is absent. */
  public Optional<HostPort> optionalAddress(String name) {
    return has(name) ? Optional.of(address(name)) : Optional.empty();
  }

  private HostPort parseAddress(String name, String text) {
    try {
      return HostPort.parse(text);
    } catch (IllegalArgumentException e) {
      return reject(name, "is " + text + ", allowed: IP number and port", PLACEHOLDER_ADDRESS);
    }
  }

  /** Returns a required integer between {@code min} and {@code max}, inclusive. */
  public int integer(String name, int min, int max) {
    return (int) longInteger(name, min, max);
  }

  /**
   * Returns an integer between {@code min} and {@code max}, inclusive, or the default if it is
   * absent.
   */
  public int integer(String name, int min, int max, int defaultValue) {
    return has(name) ? integer(name, min, max) : defaultValue;
  }

  /** Returns a required long integer between {@code min} and {@code max}, inclusive. */
  public long longInteger(String name, long min, long max) {
    Optional<JsonNode> value = find(name);
    if (value.isEmpty()) {
      return reject(name, "must be given", min);
    }
    if (!value.get().isIntegralNumber() || !value.get().canConvertToLong()) {
      return reject(
          name, "must be an integer from " + min + " to " + max + ", not " + value.get(), min);
    }
    long number = value.get().longValue();
    if (number < min || number > max) {
      return reject(name, "is " + number + ", allowed: " + min + " to " + max, min);
    }
    return number;
  }

  /**
   * Returns a number between {@code min} and {@code max}, inclusive, or the default if it is
   * absent.
   */
  public double number(String name, double min, double max, double defaultValue) {
    Optional<JsonNode> value = find(name);
    if (value.isEmpty()) {
      return defaultValue;
    }
    if (!value.get().isNumber()) {
      return reject(
          name, "must be a number from " + min + " to " + max + ", not " + value.get(), min);
    }
    double number = value.get().doubleValue();
    if (number < min || number > max) {
      return reject(name, "is " + number + ", allowed: " + min + " to " + max, min);
    }
    return number;
  }

  /** Returns a boolean, or the default if it is absent. */
  public boolean bool(String name, boolean defaultValue) {
    Optional<JsonNode> value = find(name);
    if (value.isEmpty()) {
      return defaultValue;
    }
    if (!value.get().isBoolean()) {
      return reject(name, "must be true or false, not " + value.get(), defaultValue);
    }
    return value.get().booleanValue();
  }

  /**
   * Returns a constant of an enum, or the default if it is absent. The case is ignored, and dashes
   * stand for underscores.
   */
  public <E extends Enum<E>> E oneOf(String name, Class<E> type, E defaultValue) {
    Optional<String> text = scalar(name);
    if (text.isEmpty()) {
      return defaultValue;
    }
    String wanted = text.get().toUpperCase(Locale.ROOT).replace('-', '_');
    for (E value : type.getEnumConstants()) {
      if (value.name().equals(wanted)) {
        return value;
      }
    }
    return reject(name, "is " + text.get() + ", allowed: " + names(type), defaultValue);
  }

  private static <E extends Enum<E>> String names(Class<E> type) {
    ImmutableList.Builder<String> names = ImmutableList.builder();
    for (E value : type.getEnumConstants()) {
      names.add(value.name().toLowerCase(Locale.ROOT).replace('_', '-'));
    }
    return String.join(", ", names.build());
  }

  /** Returns a reader of a required nested object. */
  public FieldReader object(String name) {
    Optional<JsonNode> value = find(name);
    if (value.isEmpty()) {
      reject(name, "must be given");
    }
    return nested(pathOf(name), value.orElseGet(Json::object));
  }

  /** Returns a reader of a nested object; an absent object is read as empty. */
  public FieldReader objectOrEmpty(String name) {
    Optional<JsonNode> value = find(name);
    return nested(pathOf(name), value.orElseGet(Json::object));
  }

  private FieldReader nested(String nestedPath, JsonNode value) {
    if (!value.isObject()) {
      problems.accept(new InvalidFieldException(nestedPath, "must be an object"));
      return new FieldReader(nestedPath, Json.object(), problems, collected);
    }
    return new FieldReader(nestedPath, value, problems, collected);
  }

  /** Returns readers of a list of objects; an absent list is empty. */
  public ImmutableList<FieldReader> objects(String name) {
    ImmutableList.Builder<FieldReader> readers = ImmutableList.builder();
    int index = 0;
    for (JsonNode element : list(name)) {
      readers.add(nested(pathOf(name) + "[" + index++ + "]", element));
    }
    return readers.build();
  }

  /** Returns a list of strings; an absent list is empty. */
  public ImmutableList<String> texts(String name) {
    ImmutableList.Builder<String> texts = ImmutableList.builder();
    for (JsonNode element : list(name)) {
      if (!element.isValueNode()) {
        return reject(name, "must be a list of plain values", ImmutableList.of());
      }
      texts.add(element.asText());
    }
    return texts.build();
  }

  /** Returns the fields of a nested object as strings; an absent object is empty. */
  public ImmutableMap<String, String> textMap(String name) {
    FieldReader object = objectOrEmpty(name);
    ImmutableMap.Builder<String, String> texts = ImmutableMap.builder();
    object.node.fieldNames().forEachRemaining(key -> texts.put(key, object.text(key, "")));
    return texts.buildOrThrow();
  }

  private JsonNode list(String name) {
    Optional<JsonNode> value = find(name);
    if (value.isEmpty()) {
      return Json.list();
    }
    if (!value.get().isArray()) {
      return reject(name, "must be a list", Json.list());
    }
    return value.get();
  }

  /** Rejects each field of the object that was not read. */
  public void rejectUnknown() {
    node.fieldNames()
        .forEachRemaining(
            name -> {
              if (!namesRead.contains(name)) {
                reject(name, "is not a known field, known: " + String.join(", ", namesRead));
              }
            });
  }

  /** Returns the exception for a problem with a field, without throwing or collecting it. */
  public InvalidFieldException invalid(String name, String problem) {
    return new InvalidFieldException(pathOf(name), problem);
  }

  private Optional<String> scalar(String name) {
    Optional<JsonNode> value = find(name);
    if (value.isPresent() && !value.get().isValueNode()) {
      return reject(name, "must be a plain value", Optional.empty());
    }
    return value.map(JsonNode::asText);
  }

  private Optional<JsonNode> find(String name) {
    namesRead.add(name);
    return Optional.ofNullable(node.get(name)).filter(value -> !value.isNull());
  }
}
