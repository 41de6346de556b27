package org.vaneworks.state;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import java.util.List;

/**
 * An ordered list of engines whose layer ranges cover a span without gaps or overlaps.
 *
 * <p>Immutable.
 */
public final class Route {
  private final ImmutableList<Endpoint> hops;
  private final LayerRange span;

  private Route(ImmutableList<Endpoint> hops, LayerRange span) {
    this.hops = hops;
    this.span = span;
  }

  /**
   * Returns the route over the given hops.
   *
   * @throws IllegalArgumentException if the layers of the hops, in order, don't cover the span
   *     exactly
   */
  public static Route tiling(LayerRange span, List<Endpoint> hops) {
    int next = span.from();
    for (Endpoint hop : hops) {
      checkArgument(hop.isEngine(), "a hop must hold layers: %s", hop.id());
      LayerRange range = hop.layers().get();
      checkArgument(range.from() == next, "hop %s holds %s, expected layer %s", hop, range, next);
      next = range.to();
    }
    checkArgument(next == span.to(), "the hops end at layer %s, expected %s", next, span.to());
    return new Route(ImmutableList.copyOf(hops), span);
  }

  /** Returns the hops in layer order. */
  public ImmutableList<Endpoint> hops() {
    return hops;
  }

  /** Returns the layers that all hops cover together. */
  public LayerRange span() {
    return span;
  }

  @Override
  public String toString() {
    return hops.toString();
  }
}
