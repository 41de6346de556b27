package org.vaneworks.coordination.fleet;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;

/**
 * When this node may begin requests at endpoints, by what those say of themselves.
 *
 * <p>An estimate: it takes all endpoints for empty, and looks at each layer by itself.
 *
 * @param firstAt when the first request may begin, on the node's clock in nanoseconds; the smallest
 *     value is now, the largest never
 * @param perSecond how many may begin a second from then on; 0 if none, infinite without a limit
 */
public record Openings(long firstAt, double perSecond) {
  /** Requests may begin at any time. */
  static final Openings ALWAYS = new Openings(Long.MIN_VALUE, Double.POSITIVE_INFINITY);

  /** No request may begin. */
  static final Openings NEVER = new Openings(Long.MAX_VALUE, 0);

  private static final double NANOS_PER_SECOND = 1e9;

  /** Returns those of plain endpoints, any of which serves a request. */
  public static Openings ofPlain(List<TrackedEndpoint> endpoints) {
    Collector collector = new Collector(1);
    endpoints.forEach(endpoint -> collector.add(endpoint, 0, 1));
    return collector.openings();
  }

  /** Returns those of engines, which have to hold every layer between them. */
  public static Openings ofEngines(List<TrackedEndpoint> engines, int layers) {
    Collector collector = new Collector(layers);
    for (TrackedEndpoint engine : engines) {
      engine
          .endpoint()
          .layers()
          .ifPresent(held -> collector.add(engine, held.from(), Math.min(held.to(), layers)));
    }
    return collector.openings();
  }

  /** Returns whether any request may ever begin. */
  public boolean any() {
    return perSecond > 0;
  }

  /** Returns how long it is until the first request may begin; zero if it may now, or never. */
  public Duration untilFirst(long nowNanos) {
    boolean later = firstAt > nowNanos && firstAt < Long.MAX_VALUE;
    return later ? Duration.ofNanos(firstAt - nowNanos) : Duration.ZERO;
  }

  /** Returns when a request with that many before it may begin. */
  public long at(int before, long nowNanos) {
    double after = before / perSecond * NANOS_PER_SECOND;
    return Math.max(firstAt, nowNanos) + (long) after;
  }

  /** The least over the layers of what their endpoints offer between them. */
  private static final class Collector {
    private final long[] firstAt;
    private final double[] perSecond;

    Collector(int layers) {
      firstAt = new long[layers];
      perSecond = new double[layers];
      Arrays.fill(firstAt, Long.MAX_VALUE);
    }

    void add(TrackedEndpoint endpoint, int from, int to) {
      long opensAt = endpoint.opensAt();
      double startsPerSecond = endpoint.startLimit().startsPerSecond();
      for (int layer = from; layer < to; layer++) {
        firstAt[layer] = Math.min(firstAt[layer], opensAt);
        perSecond[layer] += startsPerSecond;
      }
    }

    Openings openings() {
      return new Openings(
          Arrays.stream(firstAt).max().orElse(Long.MIN_VALUE),
          Arrays.stream(perSecond).min().orElse(Double.POSITIVE_INFINITY));
    }
  }
}
