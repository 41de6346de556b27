package org.vaneworks.coordination.pipeline;

import java.time.Duration;
import org.vaneworks.coordination.routing.RouteQuery;
import org.vaneworks.telemetry.Metric;

/** Measures one stream's tokens. Not thread-safe; the stream's lock guards it. */
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

  /** Takes note of a token that was accepted. */
  void token(long now) {
    if (lastTokenAt == NONE) {
      context.counters().record(Metric.FIRST_TOKEN, Duration.ofNanos(now - startedAt));
    } else {
      between(Duration.ofNanos(now - lastTokenAt));
    }
    if (lostAt != NONE) {
      context.counters().record(Metric.RECOVERY, Duration.ofNanos(now - lostAt));
      lostAt = NONE;
    }
    lastTokenAt = now;
    context.counters().count(Metric.TOKENS, query.model());
  }

  private void between(Duration gap) {
    context.counters().record(Metric.BETWEEN_TOKENS, gap);
    boolean late = gap.compareTo(query.betweenTokens()) > 0;
    context.admission().tokenCame(query.model(), late);
  }

  /** Takes note of a loss; the first one until the next token counts. */
  void lost(long now) {
    lostAt = lostAt == NONE ? now : lostAt;
  }

  /** Returns the mean time for a token so far, in nanoseconds. */
  double pace(long now, int tokens) {
    return (double) (now - startedAt) / Math.max(1, tokens);
  }
}
