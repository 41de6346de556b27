package org.vaneworks.coordination.configuration;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/** Computes the hash that identifies a configuration page by its content. */
final class ContentHash {
  /** Number of hexadecimal digits; 128 bits are enough to rule out collisions of pages. */
  private static final int DIGITS = 32;

  private ContentHash() {}

  static String of(String text) {
    return Hashing.sha256()
        .hashString(text, StandardCharsets.UTF_8)
        .toString()
        .substring(0, DIGITS);
  }
}
