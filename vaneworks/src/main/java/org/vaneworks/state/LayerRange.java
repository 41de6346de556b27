package org.vaneworks.state;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.Optional;

/**
 * A half-open range of model layers, {@code [from, to)}.
 *
 * @param from the first layer, counted from 0
 * @param to the layer after the last
 */
public record LayerRange(int from, int to) {
  /** Checks that the range holds at least one layer. */
  public LayerRange {
    checkArgument(from >= 0 && to > from, "layers [%s, %s) must hold at least one layer", from, to);
  }

  /** Returns the range {@code [from, to)}. */
  public static LayerRange of(int from, int to) {
    return new LayerRange(from, to);
  }

  /** Returns the number of layers in the range. */
  public int size() {
    return to - from;
  }

  /** Returns whether this range contains every layer of the other range. */
  public boolean encloses(LayerRange other) {
    return from <= other.from && other.to <= to;
  }

  /** Returns the layers that are in both ranges; empty if the ranges are disjoint. */
  public Optional<LayerRange> intersection(LayerRange other) {
    int first = Math.max(from, other.from);
    int end = Math.min(to, other.to);
    return first < end ? Optional.of(of(first, end)) : Optional.empty();
  }

  // Written out: the generated methods of a record are linked through method handles, whose classes
  // the JVM has to generate at each start.

  @Override
  public boolean equals(Object other) {
    return other instanceof LayerRange that && from == that.from && to == that.to;
  }

  @Override
  public int hashCode() {
    return 31 * from + to;
  }

  @Override
  public String toString() {
    return from + "-" + to;
  }
}
