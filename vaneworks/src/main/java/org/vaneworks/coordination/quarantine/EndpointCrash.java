package org.vaneworks.coordination.quarantine;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.base.Joiner;
import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import java.util.Collection;
import java.util.List;
import java.util.stream.Collectors;
import org.vaneworks.state.PromptPart;
import org.vaneworks.state.RequestContent;

/**
 * A crash of one incarnation of an endpoint just after it had begun a request.
 *
 * @param content the content of the request
 * @param parts the parts of its prompt that other requests may share
 * @param incarnationId unique id of the incarnation
 */
public record EndpointCrash(
    RequestContent content, ImmutableList<PromptPart> parts, String incarnationId) {
  private static final char FIELD_SEPARATOR = ' ';
  private static final char CRASH_SEPARATOR = '\n';

  /** Before the parts, which older versions read as the end of the incarnation id. */
  private static final char PARTS_PREFIX = '\t';

  private static final char PART_SEPARATOR = ',';

  /** Checks that the id is not empty and has no line break or tab. */
  public EndpointCrash {
    checkNotNull(content);
    checkNotNull(parts);
    checkArgument(!incarnationId.isEmpty(), "incarnationId is empty");
    checkArgument(
        incarnationId.indexOf(CRASH_SEPARATOR) < 0,
        "incarnationId contains a line break: %s",
        incarnationId);
    checkArgument(
        incarnationId.indexOf(PARTS_PREFIX) < 0, "incarnationId contains a tab: %s", incarnationId);
  }

  /** Creates the crash of a request whose prompt has no parts that others share. */
  public EndpointCrash(RequestContent content, String incarnationId) {
    this(content, ImmutableList.of(), incarnationId);
  }

  /** Serializes crashes to the value of one store key. */
  public static String write(Collection<EndpointCrash> crashes) {
    return crashes.stream()
        .map(EndpointCrash::writeOne)
        .collect(Collectors.joining(String.valueOf(CRASH_SEPARATOR)));
  }

  private static String writeOne(EndpointCrash crash) {
    String text = crash.content().digest() + FIELD_SEPARATOR + crash.incarnationId();
    return crash.parts().isEmpty()
        ? text
        : text + PARTS_PREFIX + Joiner.on(PART_SEPARATOR).join(crash.parts());
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
    List<String> idAndParts = Splitter.on(PARTS_PREFIX).limit(2).splitToList(fields.get(1));
    return new EndpointCrash(
        new RequestContent(fields.get(0)),
        idAndParts.size() == 1 ? ImmutableList.of() : readParts(idAndParts.get(1)),
        idAndParts.get(0));
  }

  private static ImmutableList<PromptPart> readParts(String parts) {
    return Splitter.on(PART_SEPARATOR)
        .splitToStream(parts)
        .map(PromptPart::parse)
        .collect(ImmutableList.toImmutableList());
  }
}
