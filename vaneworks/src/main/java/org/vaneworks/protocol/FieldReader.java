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
 * Reads the fields of one object of a document, checking each.
 *
 * <p>A reader made by {@link #of} throws {@link InvalidFieldException} at the first problem, naming
 * the field, its value and what is allowed. One made by {@link #collecting} goes on with a value
 * that means nothing, and {@link #throwIfInvalid} throws with all problems; what was read must not
 * be used before that. Not thread-safe.
 */
public final class FieldReader {
  /** Stands in for an address that is not accepted. */
  private static final HostPort NO_ADDRESS = new HostPort("0.0.0.0", 0);

  private final String path;
  private final JsonNode node;
  private final Consumer<InvalidFieldException> problems;
  private final List<InvalidFieldException> collected;
  private final Set<String> read = new HashSet<>();

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
   * @param path where the object stands, for messages; empty at the top
   */
  public static FieldReader of(String path, JsonNode node) {
    checkNotNull(path);
    if (node == null || !node.isObject()) {
      throw new InvalidFieldException(path.isEmpty() ? "document" : path, "must be an object");
    }
    return new FieldReader(path, node, FieldReader::raise, ImmutableList.of());
  }

  /**
   * Returns a reader of a whole document that notes problems until {@link #throwIfInvalid}.
   *
   * @throws InvalidFieldException if the document is no object
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
   * Checks that all that was read is accepted, by this reader and those that it gave out.
   *
   * @throws InvalidFieldException with a line for each problem
   */
  public void throwIfInvalid() {
    if (!collected.isEmpty()) {
      throw InvalidFieldException.all(collected);
    }
  }

  /** Throws, or notes a problem with a field. */
  public void reject(String name, String problem) {
    problems.accept(invalid(name, problem));
  }

  private <T> T reject(String name, String problem, T standIn) {
    reject(name, problem);
    return standIn;
  }

  /** Returns where a field stands. */
  public String pathOf(String name) {
    return path.isEmpty() ? name : path + "." + name;
  }

  /** Returns whether the field is given. */
  public boolean has(String name) {
    return find(name).isPresent();
  }

  /** Returns a text that must be given and not be empty. */
  public String text(String name) {
    Optional<String> text = scalar(name);
    if (text.isEmpty()) {
      return reject(name, "must be given", "");
    }
    return text.get().isEmpty() ? reject(name, "must not be empty", "") : text.get();
  }

  /** Returns a text, or the default. */
  public String text(String name, String defaultValue) {
    return scalar(name).orElse(defaultValue);
  }

  /** Returns a text if it is given. */
  public Optional<String> optionalText(String name) {
    return scalar(name);
  }

  /** Returns an IP number and port that must be given. */
  public HostPort address(String name) {
    String text = text(name);
    return text.isEmpty() ? NO_ADDRESS : parseAddress(name, text);
  }

  /** Returns an IP number and port if they are given. */
  public Optional<HostPort> optionalAddress(String name) {
    return has(name) ? Optional.of(address(name)) : Optional.empty();
  }

  private HostPort parseAddress(String name, String text) {
    try {
      return HostPort.parse(text);
    } catch (IllegalArgumentException e) {
      return reject(name, "is " + text + ", allowed: IP number and port", NO_ADDRESS);
    }
  }

  /** Returns an integer that must be given, within bounds. */
  public int integer(String name, int min, int max) {
    return (int) longInteger(name, min, max);
  }

  /** Returns an integer within bounds, or the default. */
  public int integer(String name, int min, int max, int defaultValue) {
    return has(name) ? integer(name, min, max) : defaultValue;
  }

  /** Returns a long integer that must be given, within bounds. */
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

  /** Returns a number within bounds, or the default. */
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

  /** Returns a boolean, or the default. */
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

  /** Returns one of an enumeration's values, or the default; case and dashes don't matter. */
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

  /** Returns a reader of an object that must be given. */
  public FieldReader object(String name) {
    Optional<JsonNode> value = find(name);
    if (value.isEmpty()) {
      reject(name, "must be given");
    }
    return part(pathOf(name), value.orElseGet(Json::object));
  }

  /** Returns a reader of an object, of an empty one if it isn't given. */
  public FieldReader objectOrEmpty(String name) {
    Optional<JsonNode> value = find(name);
    return part(pathOf(name), value.orElseGet(Json::object));
  }

  private FieldReader part(String partPath, JsonNode part) {
    if (!part.isObject()) {
      problems.accept(new InvalidFieldException(partPath, "must be an object"));
      return new FieldReader(partPath, Json.object(), problems, collected);
    }
    return new FieldReader(partPath, part, problems, collected);
  }

  /** Returns readers of a list of objects; an absent list is empty. */
  public ImmutableList<FieldReader> objects(String name) {
    ImmutableList.Builder<FieldReader> readers = ImmutableList.builder();
    int index = 0;
    for (JsonNode element : list(name)) {
      readers.add(part(pathOf(name) + "[" + index++ + "]", element));
    }
    return readers.build();
  }

  /** Returns a list of texts; an absent list is empty. */
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

  /** Returns an object's fields as texts; an absent object is empty. */
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

  /** Checks that the object has no field that was not asked for. */
  public void rejectUnknown() {
    node.fieldNames()
        .forEachRemaining(
            name -> {
              if (!read.contains(name)) {
                reject(name, "is not a known field, known: " + String.join(", ", read));
              }
            });
  }

  /** Returns the exception that says what is wrong with a field. */
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
    read.add(name);
    return Optional.ofNullable(node.get(name)).filter(value -> !value.isNull());
  }
}
