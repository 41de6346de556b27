package org.vaneworks.coordination.fleet;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;

/**
 * When this node may send requests to endpoints, according to the endpoints' rate limits and
 * backoffs.
 *
 * <p>This is an estimate: it assumes that all endpoints are idle, and considers each layer
 * separately.
 *
 * @param firstAt when the first request may be sent, in nanoseconds on the node's clock; {@link
 *     Long#MIN_VALUE} means now, {@link Long#MAX_VALUE} never
 * @param perSecond how many requests per second may be sent from then on; 0 for none, infinite
 *     without a limit
 */
public record RequestSchedule(long firstAt, double perSecond) {
  /** Requests may be sent at any time. */
  public static final RequestSchedule ALWAYS =
      new RequestSchedule(Long.MIN_VALUE, Double.POSITIVE_INFINITY);

  /** No request may be sent. */
  public static final RequestSchedule NEVER = new RequestSchedule(Long.MAX_VALUE, 0);

  private static final double NANOS_PER_SECOND = 1e9;

  /** Returns the schedule for plain endpoints, any of which serves a request. */
  public static RequestSchedule ofPlain(List<TrackedEndpoint> endpoints) {
    Collector collector = new Collector(1);
    endpoints.forEach(endpoint -> collector.add(endpoint, 0, 1));
    return collector.schedule();
  }

  /** Returns the schedule for engines, which must hold every layer between them. */
  public static RequestSchedule ofEngines(List<TrackedEndpoint> engines, int layers) {
    Collector collector = new Collector(layers);
    for (TrackedEndpoint engine : engines) {
      engine
          .endpoint()
          .layers()
          .ifPresent(held -> collector.add(engine, held.from(), Math.min(held.to(), layers)));
    }
    return collector.schedule();
  }

  /** Returns whether any request may ever be sent. */
  public boolean allowsAny() {
    return perSecond > 0;
  }

  /** Returns the time until the first request may be sent; zero if it may be sent now, or never. */
  public Duration untilFirst(long nowNanos) {
    boolean later = firstAt > nowNanos && firstAt < Long.MAX_VALUE;
    return later ? Duration.ofNanos(firstAt - nowNanos) : Duration.ZERO;
  }

  /**
   * Returns when a request may be sent that has the given number of requests ahead of it, in
   * nanoseconds on the node's clock.
   */
  public long timeOf(int requestsAhead, long nowNanos) {
    double delayNanos = requestsAhead / perSecond * NANOS_PER_SECOND;
    return Math.max(firstAt, nowNanos) + (long) delayNanos;
  }

  /** Combines the endpoints of each layer and returns the most restrictive layer's schedule. */
  private static final class Collector {
    private final long[] firstAt;
    private final double[] perSecond;

    Collector(int layers) {
      firstAt = new long[layers];
      perSecond = new double[layers];
      Arrays.fill(firstAt, Long.MAX_VALUE);
    }

    void add(TrackedEndpoint endpoint, int from, int to) {
      long nextRequestAt = endpoint.nextRequestAt();
      double requestsPerSecond = endpoint.rateLimit().requestsPerSecond();
      for (int layer = from; layer < to; layer++) {
        firstAt[layer] = Math.min(firstAt[layer], nextRequestAt);
        perSecond[layer] += requestsPerSecond;
      }
    }

    RequestSchedule schedule() {
      return new RequestSchedule(
          Arrays.stream(firstAt).max().orElse(Long.MIN_VALUE),
          Arrays.stream(perSecond).min().orElse(Double.POSITIVE_INFINITY));
    }
  }
}
