package org.vaneworks.coordination.fleet;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.OptionalLong;

/**
 * One incarnation of an endpoint, that is one run of its process, identified by its start time.
 *
 * <p>An endpoint may restart under the same ID. It then holds none of its former state, so nothing
 * known about the former incarnation applies to the next. Endpoints that use a new ID at each start
 * need not report a start time. If the start time of either of two incarnations is unknown, they
 * are unordered.
 *
 * @param startedAt wall-clock time of the start on the endpoint's box, in Unix milliseconds; empty
 *     if the endpoint does not report it
 */
public record Incarnation(OptionalLong startedAt) {
  /** The incarnation of an endpoint that does not report its start time. */
  public static final Incarnation UNKNOWN = new Incarnation(OptionalLong.empty());

  /** Returns the incarnation that started at the given time, in Unix milliseconds. */
  public static Incarnation startedAt(long unixMillis) {
    checkArgument(unixMillis >= 0, "start time must not be negative: %s", unixMillis);
    return new Incarnation(OptionalLong.of(unixMillis));
  }

  // Written out: the generated methods of a record are linked through method handles, whose classes
  // the JVM has to generate at each start.

  @Override
  public boolean equals(Object other) {
    return other instanceof Incarnation that && startedAt.equals(that.startedAt);
  }

  @Override
  public int hashCode() {
    return startedAt.hashCode();
  }

  /** Returns whether the start time is known. */
  public boolean isKnown() {
    return startedAt.isPresent();
  }

  /**
   * Returns whether this incarnation started after the other one; false if either start time is
   * unknown.
   */
  public boolean isAfter(Incarnation other) {
    return isKnown() && other.isKnown() && startedAt.getAsLong() > other.startedAt.getAsLong();
  }
}
