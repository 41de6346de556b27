package org.vaneworks.state;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.regex.Pattern;

/**
 * Identifies a part of prompts that different requests to one service may share.
 *
 * @param id identifies the part among those of the service, in hexadecimal
 * @param serviceHash 32-bit hash of the service's name, in hexadecimal
 */
public record PromptPart(String id, String serviceHash) implements RequestTrait {
  /** Maximum length of an id, in hexadecimal digits. */
  public static final int MAX_ID_LENGTH = 64;

  private static final Pattern ID = Pattern.compile("[0-9a-f]{1," + MAX_ID_LENGTH + "}");
  private static final Pattern SERVICE_HASH = Pattern.compile("[0-9a-f]{8}");
  static final char SEPARATOR = '-';

  /** Checks the form of both components. */
  public PromptPart {
    checkArgument(ID.matcher(id).matches(), "id is not in hex: %s", id);
    checkArgument(
        SERVICE_HASH.matcher(serviceHash).matches(), "not 32 bits in hex: %s", serviceHash);
  }

  /** Returns the part with an id at a service. */
  public static PromptPart of(String service, String id) {
    return new PromptPart(
        id, Hashing.murmur3_32_fixed().hashString(service, StandardCharsets.UTF_8).toString());
  }

  /**
   * Parses the text that {@link #toString} returned.
   *
   * @throws IllegalArgumentException if the text has another form
   */
  public static PromptPart parse(String text) {
    int separator = text.indexOf(SEPARATOR);
    checkArgument(separator >= 0, "expected an id and a hash: %s", text);
    return new PromptPart(text.substring(0, separator), text.substring(separator + 1));
  }

  @Override
  public String toString() {
    return id + SEPARATOR + serviceHash;
  }
}
