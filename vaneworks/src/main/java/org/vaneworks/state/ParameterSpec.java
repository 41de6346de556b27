package org.vaneworks.state;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.Optional;

/**
 * A template's parameter: its type, default and allowed values.
 *
 * @param name name that workspaces use for their value
 * @param type type of the value
 * @param defaultValue value for workspaces that give none; without a default they must give one
 * @param min minimum of an integer
 * @param max maximum of an integer, or maximum length of a string in characters
 * @param values the allowed values of an enumeration
 */
public record ParameterSpec(
    String name,
    ParameterType type,
    Optional<String> defaultValue,
    int min,
    int max,
    ImmutableList<String> values) {
  /** Checks the name, the type, the bounds and that an enumeration has values. */
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
   * @throws IllegalArgumentException if the value is not allowed; the message names the parameter,
   *     the value and the allowed values
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
