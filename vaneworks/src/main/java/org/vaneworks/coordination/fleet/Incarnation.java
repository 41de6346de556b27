package org.vaneworks.coordination.fleet;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.OptionalLong;

/**
 * One run of an endpoint's process, told apart by when it started.
 *
 * <p>An endpoint may start again under the id that it had. It then holds nothing of before, so what
 * was known of the former run says nothing of the next. Endpoints that take a new id at each start
 * need not tell; of two runs of which one is not told, neither is before the other.
 *
 * @param startedAt wall-clock time of the start on the endpoint's box, in Unix milliseconds; empty
 *     if the endpoint does not tell
 */
public record Incarnation(OptionalLong startedAt) {
  /** An endpoint that does not tell when it started. */
  public static final Incarnation UNTOLD = new Incarnation(OptionalLong.empty());

  /** Returns the run that started at a time, in Unix milliseconds. */
  public static Incarnation startedAt(long unixMillis) {
    checkArgument(unixMillis >= 0, "a start must not be negative: %s", unixMillis);
    return new Incarnation(OptionalLong.of(unixMillis));
  }

  // Written out: generated ones are linked by method handles, whose classes each start makes anew.

  @Override
  public boolean equals(Object other) {
    return other instanceof Incarnation that && startedAt.equals(that.startedAt);
  }

  @Override
  public int hashCode() {
    return startedAt.hashCode();
  }

  /** Returns whether the endpoint tells when it started. */
  public boolean isTold() {
    return startedAt.isPresent();
  }

  /** Returns whether this run began after the other one. */
  public boolean isAfter(Incarnation other) {
    return isTold() && other.isTold() && startedAt.getAsLong() > other.startedAt.getAsLong();
  }
}
