package org.vaneworks.state;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkState;

import java.time.Duration;

/**
 * What an answer says about how long its endpoint wants no calls from the node that it answers.
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

  /** Returns what an answer says that asks for no backoff; one asked for before goes on. */
  public static RequestedBackoff none() {
    return NONE;
  }

  /** Returns a backoff that begins when the answer is read. */
  public static RequestedBackoff of(Duration length) {
    checkArgument(!length.isNegative(), "length must not be negative: %s", length);
    return new RequestedBackoff(Kind.ASKED, length);
  }

  /** Returns what an answer says whose backoff can't be read. */
  public static RequestedBackoff unreadable() {
    return UNREADABLE;
  }

  /** Returns whether the endpoint asks for a backoff. */
  public boolean isRequested() {
    return kind == Kind.ASKED;
  }

  /** Returns whether the answer names a backoff that can't be read. */
  public boolean isUnreadable() {
    return kind == Kind.UNREADABLE;
  }

  /** Returns how long it is; there must be one. */
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
