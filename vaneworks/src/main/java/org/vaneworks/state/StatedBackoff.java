package org.vaneworks.state;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkState;

import java.time.Duration;

/**
 * What an answer says about how long its endpoint wants no calls from the node that it answers.
 *
 * <p>Immutable.
 */
public final class StatedBackoff {
  private enum Kind {
    NONE,
    ASKED,
    UNREADABLE
  }

  private static final StatedBackoff NONE = new StatedBackoff(Kind.NONE, Duration.ZERO);
  private static final StatedBackoff UNREADABLE = new StatedBackoff(Kind.UNREADABLE, Duration.ZERO);

  private final Kind kind;
  private final Duration length;

  private StatedBackoff(Kind kind, Duration length) {
    this.kind = kind;
    this.length = length;
  }

  /** Returns what an answer says that asks for no backoff; one asked for before goes on. */
  public static StatedBackoff none() {
    return NONE;
  }

  /** Returns a backoff that begins when the answer is read. */
  public static StatedBackoff of(Duration length) {
    checkArgument(!length.isNegative(), "length must not be negative: %s", length);
    return new StatedBackoff(Kind.ASKED, length);
  }

  /** Returns what an answer says whose backoff can't be read. */
  public static StatedBackoff unreadable() {
    return UNREADABLE;
  }

  /** Returns whether the endpoint asks for a backoff. */
  public boolean isAsked() {
    return kind == Kind.ASKED;
  }

  /** Returns whether the answer names a backoff that can't be read. */
  public boolean isUnreadable() {
    return kind == Kind.UNREADABLE;
  }

  /** Returns how long it is; there must be one. */
  public Duration length() {
    checkState(isAsked(), "no backoff: %s", this);
    return length;
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof StatedBackoff that && kind == that.kind && length.equals(that.length);
  }

  @Override
  public int hashCode() {
    return 31 * kind.hashCode() + length.hashCode();
  }

  @Override
  public String toString() {
    return isAsked() ? length.toMillis() + " ms" : kind.name();
  }
}
