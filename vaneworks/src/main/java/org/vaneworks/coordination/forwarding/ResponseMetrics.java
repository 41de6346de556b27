package org.vaneworks.coordination.forwarding;

import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;
import java.util.OptionalLong;
import org.vaneworks.telemetry.Counters;
import org.vaneworks.telemetry.Metric;

/**
 * Records what the caller of one request sees: its first part, the pauses between parts, its end.
 *
 * <p>Attempts don't matter here: a pause in which a request was sent again counts in full. Confined
 * to the node's event loop.
 */
final class ResponseMetrics {
  private final Counters counters;
  private final boolean streamed;
  private final long startedAt;
  private OptionalLong lastPartAt = OptionalLong.empty();

  /**
   * Makes the times of a request without an answer.
   *
   * @param streamed whether the answer comes in parts that are worth something by themselves
   * @param startedAt when the request came, in ns of the node's clock
   */
  ResponseMetrics(Counters counters, boolean streamed, long startedAt) {
    this.counters = checkNotNull(counters);
    this.streamed = streamed;
    this.startedAt = startedAt;
  }

  /** Takes note that a part of the answer came at a time in ns. */
  void recordPart(long now) {
    if (!streamed) {
      return;
    }
    if (lastPartAt.isEmpty()) {
      counters.record(Metric.FIRST_TOKEN, Duration.ofNanos(now - startedAt));
    } else {
      counters.record(Metric.BETWEEN_TOKENS, Duration.ofNanos(now - lastPartAt.getAsLong()));
    }
    lastPartAt = OptionalLong.of(now);
  }

  /** Takes note that the answer was whole at a time in ns. */
  void recordCompletion(long now) {
    counters.record(Metric.REQUEST_TIME, Duration.ofNanos(now - startedAt));
  }
}
