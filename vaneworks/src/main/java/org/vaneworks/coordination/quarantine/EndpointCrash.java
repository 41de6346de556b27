package org.vaneworks.coordination.quarantine;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import java.util.Collection;
import java.util.List;
import java.util.stream.Collectors;
import org.vaneworks.state.RequestContent;

/**
 * A crash of one incarnation of an endpoint just after it had begun a request.
 *
 * @param content the content of the request
 * @param incarnationId unique id of the incarnation
 */
public record EndpointCrash(RequestContent content, String incarnationId) {
  private static final char FIELD_SEPARATOR = ' ';
  private static final char CRASH_SEPARATOR = '\n';

  /** Checks that the id is not empty and has no line break. */
  public EndpointCrash {
    checkNotNull(content);
    checkArgument(!incarnationId.isEmpty(), "incarnationId is empty");
    checkArgument(
        incarnationId.indexOf(CRASH_SEPARATOR) < 0,
        "incarnationId contains a line break: %s",
        incarnationId);
  }

  /** Serializes crashes to the value of one store key. */
  public static String write(Collection<EndpointCrash> crashes) {
    return crashes.stream()
        .map(crash -> crash.content().digest() + FIELD_SEPARATOR + crash.incarnationId())
        .collect(Collectors.joining(String.valueOf(CRASH_SEPARATOR)));
  }

  /**
   * Parses a value that {@link #write} returned.
   *
   * @throws IllegalArgumentException if the value has another format
   */
  public static ImmutableList<EndpointCrash> read(String value) {
    return Splitter.on(CRASH_SEPARATOR)
        .splitToStream(value)
        .map(EndpointCrash::readOne)
        .collect(ImmutableList.toImmutableList());
  }

  private static EndpointCrash readOne(String line) {
    List<String> fields = Splitter.on(FIELD_SEPARATOR).limit(2).splitToList(line);
    checkArgument(fields.size() == 2, "expected a content and an incarnation id: %s", line);
    return new EndpointCrash(new RequestContent(fields.get(0)), fields.get(1));
  }
}
