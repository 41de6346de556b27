package org.vaneworks.coordination.forwarding;

import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;
import java.util.OptionalLong;
import org.vaneworks.telemetry.Counters;
import org.vaneworks.telemetry.Metric;

/**
 * Records the latencies that the caller of one request observes: time to the first part, pauses
 * between parts, and total time.
 *
 * <p>Latencies span attempts: a pause during which the request was retried counts in full. Confined
 * to the node's event loop.
 */
final class ResponseMetrics {
  private final Counters counters;
  private final boolean streamed;
  private final long startedAt;
  private OptionalLong lastPartAt = OptionalLong.empty();

  /**
   * Creates metrics for a request that has no response yet.
   *
   * @param streamed whether the response is a stream whose parts are useful individually
   * @param startedAt when the request arrived, in nanoseconds of the node's clock
   */
  ResponseMetrics(Counters counters, boolean streamed, long startedAt) {
    this.counters = checkNotNull(counters);
    this.streamed = streamed;
    this.startedAt = startedAt;
  }

  /** Records that a part of the response arrived at {@code now}, in nanoseconds. */
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

  /** Records that the response was complete at {@code now}, in nanoseconds. */
  void recordCompletion(long now) {
    counters.record(Metric.REQUEST_TIME, Duration.ofNanos(now - startedAt));
  }
}
