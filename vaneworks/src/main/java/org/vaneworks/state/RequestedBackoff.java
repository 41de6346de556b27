package org.vaneworks.state;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkState;

import java.time.Duration;

/**
 * The backoff that an endpoint requests in a response: how long the receiving node should not call
 * it.
 *
 * <p>Immutable.
 */
public final class RequestedBackoff {
  private enum Kind {
    NONE,
    ASKED,
    UNREADABLE
  }

  private static final RequestedBackoff NONE = new RequestedBackoff(Kind.NONE, Duration.ZERO);
  private static final RequestedBackoff UNREADABLE =
      new RequestedBackoff(Kind.UNREADABLE, Duration.ZERO);

  private final Kind kind;
  private final Duration length;

  private RequestedBackoff(Kind kind, Duration length) {
    this.kind = kind;
    this.length = length;
  }

  /**
   * Returns the value for a response that requests no backoff; an earlier backoff stays in effect.
   */
  public static RequestedBackoff none() {
    return NONE;
  }

  /** Returns a backoff that starts when the response is read. */
  public static RequestedBackoff of(Duration length) {
    checkArgument(!length.isNegative(), "length must not be negative: %s", length);
    return new RequestedBackoff(Kind.ASKED, length);
  }

  /** Returns the value for a response whose backoff can't be parsed. */
  public static RequestedBackoff unreadable() {
    return UNREADABLE;
  }

  /** Returns whether the endpoint requests a backoff. */
  public boolean isRequested() {
    return kind == Kind.ASKED;
  }

  /** Returns whether the response contains a backoff that can't be parsed. */
  public boolean isUnreadable() {
    return kind == Kind.UNREADABLE;
  }

  /**
   * Returns the length of the backoff.
   *
   * @throws IllegalStateException if no backoff is requested
   */
  public Duration length() {
    checkState(isRequested(), "no backoff: %s", this);
    return length;
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof RequestedBackoff that
        && kind == that.kind
        && length.equals(that.length);
  }

  @Override
  public int hashCode() {
    return 31 * kind.hashCode() + length.hashCode();
  }

  @Override
  public String toString() {
    return isRequested() ? length.toMillis() + " ms" : kind.name();
  }
}
