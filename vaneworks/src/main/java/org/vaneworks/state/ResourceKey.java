package org.vaneworks.state;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.regex.Pattern;

/**
 * Identifies a resource of the configuration.
 *
 * @param kind template or workspace
 * @param name unique within its kind
 */
public record ResourceKey(Kind kind, String name) implements Comparable<ResourceKey> {
  private static final Pattern NAME = Pattern.compile("[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?");

  /** The kinds of resources. */
  public enum Kind {
    TEMPLATE,
    WORKSPACE
  }

  /** Description of the allowed names, for error messages. */
  static final String NAME_FORM = "1 to 63 lower case letters, digits, - and .";

  /** Returns whether the text is a valid resource name. */
  public static boolean isName(String text) {
    return NAME.matcher(text).matches();
  }

  /**
   * Parses {@code template/NAME} or {@code workspace/NAME}.
   *
   * @throws IllegalArgumentException if the text has another form
   */
  public static ResourceKey parse(String text) {
    int slash = text.indexOf('/');
    checkArgument(slash > 0, "expected KIND/NAME: %s", text);
    Kind kind = Kind.valueOf(text.substring(0, slash).toUpperCase(Locale.ROOT));
    return new ResourceKey(kind, text.substring(slash + 1));
  }

  /** Returns the number of the configuration page that contains the resource. */
  public int page() {
    int hash = Hashing.murmur3_32_fixed().hashString(toString(), StandardCharsets.UTF_8).asInt();
    return Math.floorMod(hash, ConfigurationHead.PAGES);
  }

  @Override
  public int compareTo(ResourceKey other) {
    return toString().compareTo(other.toString());
  }

  @Override
  public String toString() {
    return kind.name().toLowerCase(Locale.ROOT) + "/" + name;
  }
}
