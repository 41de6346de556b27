package org.vaneworks.coordination.quarantine;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.stream.Collectors;
import org.vaneworks.state.PromptPart;

/**
 * Tells that an endpoint continued a request with a part in its prompt after it had begun it.
 *
 * @param age how long before the report that was
 */
record Survival(PromptPart part, Duration age) {
  private static final char FIELD_SEPARATOR = ' ';
  private static final char SURVIVAL_SEPARATOR = '\n';

  Survival {
    checkNotNull(part);
    checkArgument(!age.isNegative(), "age is negative: %s", age);
  }

  /** Serializes survivals to the value of one store key. */
  static String write(Collection<Survival> survivals) {
    return survivals.stream()
        .map(survival -> survival.part().toString() + FIELD_SEPARATOR + survival.age().toMillis())
        .collect(Collectors.joining(String.valueOf(SURVIVAL_SEPARATOR)));
  }

  /**
   * Parses a value that {@link #write} returned.
   *
   * @throws IllegalArgumentException if the value has another format
   */
  static ImmutableList<Survival> read(String value) {
    return Splitter.on(SURVIVAL_SEPARATOR)
        .splitToStream(value)
        .map(Survival::readOne)
        .collect(ImmutableList.toImmutableList());
  }

  private static Survival readOne(String line) {
    List<String> fields = Splitter.on(FIELD_SEPARATOR).splitToList(line);
    checkArgument(fields.size() == 2, "expected a part and an age: %s", line);
    return new Survival(
        PromptPart.parse(fields.get(0)), Duration.ofMillis(Long.parseLong(fields.get(1))));
  }
}
