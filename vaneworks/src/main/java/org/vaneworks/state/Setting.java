package org.vaneworks.state;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A value in a template: a literal, or a reference to a parameter such as {@code ${maxTokens}}.
 *
 * @param text what the operator wrote
 */
public record Setting(String text) {
  private static final Pattern REFERENCE = Pattern.compile("\\$\\{([A-Za-z][A-Za-z0-9-]*)}");

  /** Returns the parameter that this setting refers to, if it refers to one. */
  public Optional<String> parameter() {
    Matcher matcher = REFERENCE.matcher(text);
    return matcher.matches() ? Optional.of(matcher.group(1)) : Optional.empty();
  }

  /**
   * Returns the value, with a parameter's value put in.
   *
   * @throws IllegalArgumentException if it refers to a parameter that is not among the given
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
   * @throws IllegalArgumentException naming the field, if it is no integer or out of its bounds
   */
  public int resolveInt(String field, Map<String, String> arguments, int min, int max) {
    String value = resolve(field, arguments);
    return ParameterSpec.parseBounded(field, value, min, max);
  }
}
