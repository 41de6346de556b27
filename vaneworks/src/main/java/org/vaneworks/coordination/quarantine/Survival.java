package org.vaneworks.coordination.quarantine;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.base.Splitter;
import java.time.Duration;
import java.util.List;
import org.vaneworks.state.PromptPart;

/**
 * Tells that an endpoint continued a request with a part in its prompt after it had begun it.
 *
 * @param age how long before the report that was
 */
record Survival(PromptPart part, Duration age) {
  private static final char FIELD_SEPARATOR = ' ';

  Survival {
    checkNotNull(part);
    checkArgument(!age.isNegative(), "age is negative: %s", age);
  }

  /** Serializes this to the value of a store key. */
  String write() {
    return part.toString() + FIELD_SEPARATOR + age.toMillis();
  }

  /**
   * Parses a value that {@link #write} returned.
   *
   * @throws IllegalArgumentException if the value has another format
   */
  static Survival read(String value) {
    List<String> fields = Splitter.on(FIELD_SEPARATOR).splitToList(value);
    checkArgument(fields.size() == 2, "expected a part and an age: %s", value);
    return new Survival(
        PromptPart.parse(fields.get(0)), Duration.ofMillis(Long.parseLong(fields.get(1))));
  }
}
