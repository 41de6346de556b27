package org.vaneworks.state;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkState;

/**
 * The rate limit that an endpoint advertises in a response: requests per second that it accepts
 * from all nodes together.
 *
 * <p>Immutable.
 */
public final class AdvertisedRateLimit {
  private enum Kind {
    NONE,
    LIMITED,
    UNREADABLE
  }

  private static final AdvertisedRateLimit NONE = new AdvertisedRateLimit(Kind.NONE, 0);
  private static final AdvertisedRateLimit UNREADABLE = new AdvertisedRateLimit(Kind.UNREADABLE, 0);

  private final Kind kind;
  private final double perSecond;

  private AdvertisedRateLimit(Kind kind, double perSecond) {
    this.kind = kind;
    this.perSecond = perSecond;
  }

  /** Returns the value for a response without a limit; an earlier limit no longer applies. */
  public static AdvertisedRateLimit none() {
    return NONE;
  }

  /** Returns a limit in requests per second; with 0, the endpoint accepts no requests. */
  public static AdvertisedRateLimit of(double perSecond) {
    checkArgument(
        perSecond >= 0 && perSecond < Double.POSITIVE_INFINITY,
        "perSecond must be a number of at least 0: %s",
        perSecond);
    return new AdvertisedRateLimit(Kind.LIMITED, perSecond);
  }

  /**
   * Returns the value for a response whose limit can't be parsed; it does not change a known limit.
   */
  public static AdvertisedRateLimit unreadable() {
    return UNREADABLE;
  }

  /** Returns whether the endpoint advertises a limit. */
  public boolean isLimited() {
    return kind == Kind.LIMITED;
  }

  /** Returns whether the response contains a limit that can't be parsed. */
  public boolean isUnreadable() {
    return kind == Kind.UNREADABLE;
  }

  /**
   * Returns the limit in requests per second.
   *
   * @throws IllegalStateException if there is no limit
   */
  public double perSecond() {
    checkState(isLimited(), "no limit: %s", this);
    return perSecond;
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof AdvertisedRateLimit that
        && kind == that.kind
        && perSecond == that.perSecond;
  }

  @Override
  public int hashCode() {
    return 31 * kind.hashCode() + Double.hashCode(perSecond);
  }

  @Override
  public String toString() {
    return isLimited() ? perSecond + " a second" : kind.name();
  }
}
