package org.vaneworks.state;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.Optional;

/**
 * A template's parameter: its type, default and what is allowed.
 *
 * @param name as workspaces fill it in
 * @param type kind of value
 * @param defaultValue value of workspaces that don't fill it in; without one they must
 * @param min least value of an integer
 * @param max greatest value of an integer
 * @param values what an enumeration allows
 */
public record ParameterSpec(
    String name,
    ParameterType type,
    Optional<String> defaultValue,
    int min,
    int max,
    ImmutableList<String> values) {
  /** Checks the bounds, and the default against them. */
  public ParameterSpec {
    checkArgument(name.matches("[A-Za-z][A-Za-z0-9-]*"), "parameter name is not allowed: %s", name);
    checkNotNull(type, "parameter %s needs a type", name);
    checkArgument(min <= max, "parameter %s has min %s over max %s", name, min, max);
    checkArgument(
        type != ParameterType.ENUM || !values.isEmpty(), "parameter %s allows no values", name);
  }

  /**
   * Returns the value if it is allowed.
   *
   * @throws IllegalArgumentException naming the parameter, the value and what is allowed
   */
  public String check(String value) {
    String field = "parameters." + name;
    switch (type) {
      case INTEGER -> parseBounded(field, value, min, max);
      case ENUM ->
          checkArgument(values.contains(value), "%s is %s, allowed: %s", field, value, values);
      case STRING -> checkArgument(value.length() <= max, "%s is over %s characters", field, max);
    }
    return value;
  }

  static int parseBounded(String field, String value, int min, int max) {
    int parsed;
    try {
      parsed = Integer.parseInt(value);
    } catch (NumberFormatException e) {
      throw new IllegalArgumentException(field + " must be an integer: " + value, e);
    }
    checkArgument(
        parsed >= min && parsed <= max, "%s is %s, allowed: %s to %s", field, value, min, max);
    return parsed;
  }
}
