package org.vaneworks.coordination.pipeline;

import java.time.Duration;
import org.vaneworks.coordination.routing.RouteQuery;
import org.vaneworks.telemetry.Metric;

/**
 * Records the token latencies of one stream. Not thread-safe; guarded by the lock of the {@link
 * StreamRun}.
 */
final class StreamMeter {
  private static final long NONE = -1;

  private final PipelineContext context;
  private final RouteQuery query;
  private final long startedAt;
  private long lastTokenAt = NONE;
  private long lostAt = NONE;

  StreamMeter(PipelineContext context, RouteQuery query, long startedAt) {
    this.context = context;
    this.query = query;
    this.startedAt = startedAt;
  }

  /** Records a token that was accepted at the given time. */
  void recordToken(long now) {
    if (lastTokenAt == NONE) {
      context.counters().record(Metric.FIRST_TOKEN, Duration.ofNanos(now - startedAt));
    } else {
      recordGap(Duration.ofNanos(now - lastTokenAt));
    }
    if (lostAt != NONE) {
      context.counters().record(Metric.RECOVERY, Duration.ofNanos(now - lostAt));
      lostAt = NONE;
    }
    lastTokenAt = now;
    context.counters().count(Metric.TOKENS, query.model());
  }

  private void recordGap(Duration gap) {
    context.counters().record(Metric.BETWEEN_TOKENS, gap);
    boolean late = gap.compareTo(query.betweenTokens()) > 0;
    context.admission().recordToken(query.model(), late);
  }

  /** Records a lost engine; recovery time counts from the first loss after the last token. */
  void recordLoss(long now) {
    lostAt = lostAt == NONE ? now : lostAt;
  }

  /** Returns the mean time per token so far, in nanoseconds. */
  double meanTokenNanos(long now, int tokens) {
    return (double) (now - startedAt) / Math.max(1, tokens);
  }
}
