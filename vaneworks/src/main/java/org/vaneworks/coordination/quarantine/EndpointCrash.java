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
 * One run of an endpoint ended just after it had begun a request.
 *
 * @param content what the request asked for
 * @param endpointRun names the run; no two runs share it
 */
public record EndpointCrash(RequestContent content, String endpointRun) {
  private static final char BETWEEN_FIELDS = ' ';
  private static final char BETWEEN_ENDS = '\n';

  /** Checks that the run has a name of one line. */
  public EndpointCrash {
    checkNotNull(content);
    checkArgument(!endpointRun.isEmpty(), "endpointRun is empty");
    checkArgument(endpointRun.indexOf(BETWEEN_ENDS) < 0, "endpointRun has lines: %s", endpointRun);
  }

  /** Returns ends as the value of one key. */
  public static String write(Collection<EndpointCrash> ends) {
    return ends.stream()
        .map(end -> end.content().digest() + BETWEEN_FIELDS + end.endpointRun())
        .collect(Collectors.joining(String.valueOf(BETWEEN_ENDS)));
  }

  /** Reads what {@link #write} returned; fails with {@link IllegalArgumentException} otherwise. */
  public static ImmutableList<EndpointCrash> read(String value) {
    return Splitter.on(BETWEEN_ENDS)
        .splitToStream(value)
        .map(EndpointCrash::readOne)
        .collect(ImmutableList.toImmutableList());
  }

  private static EndpointCrash readOne(String line) {
    List<String> fields = Splitter.on(BETWEEN_FIELDS).limit(2).splitToList(line);
    checkArgument(fields.size() == 2, "not a content and a run: %s", line);
    return new EndpointCrash(new RequestContent(fields.get(0)), fields.get(1));
  }
}
