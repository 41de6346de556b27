package org.vaneworks.state;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A value in a template: a literal or a reference to a parameter, such as {@code ${maxTokens}}.
 *
 * @param text the value as written by the operator
 */
public record Setting(String text) {
  private static final Pattern REFERENCE = Pattern.compile("\\$\\{([A-Za-z][A-Za-z0-9-]*)}");

  /** Returns the name of the referenced parameter, or empty for a literal. */
  public Optional<String> parameter() {
    Matcher matcher = REFERENCE.matcher(text);
    return matcher.matches() ? Optional.of(matcher.group(1)) : Optional.empty();
  }

  /**
   * Returns the literal, or the value of the referenced parameter.
   *
   * @param field name of the field, for the error message
   * @param arguments parameter values by name
   * @throws IllegalArgumentException if the referenced parameter is not among the arguments
   */
  public String resolve(String field, Map<String, String> arguments) {
    Optional<String> parameter = parameter();
    if (parameter.isEmpty()) {
      return text;
    }
    String value = arguments.get(parameter.get());
    checkArgument(value != null, "%s refers to unknown parameter %s", field, parameter.get());
    return value;
  }

  /**
   * Returns the value as an integer within bounds.
   *
   * @throws IllegalArgumentException if the value is not an integer or out of bounds; the message
   *     names the field
   */
  public int resolveInt(String field, Map<String, String> arguments, int min, int max) {
    String value = resolve(field, arguments);
    return ParameterSpec.parseBounded(field, value, min, max);
  }
}
