package org.vaneworks.coordination.configuration;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/** Names a text by its content. */
final class ContentHash {
  /** 128 bits, as 32 hexadecimal digits: enough that no two pages ever meet. */
  private static final int DIGITS = 32;

  private ContentHash() {}

  static String of(String text) {
    return Hashing.sha256()
        .hashString(text, StandardCharsets.UTF_8)
        .toString()
        .substring(0, DIGITS);
  }
}
