package org.vaneworks.state;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkState;

/**
 * What an answer says about how many requests a second its endpoint takes from all nodes together.
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

  /** Returns what an answer says that names no limit: there is none, or none any more. */
  public static AdvertisedRateLimit none() {
    return NONE;
  }

  /** Returns a limit in requests a second; 0 takes none. */
  public static AdvertisedRateLimit of(double perSecond) {
    checkArgument(
        perSecond >= 0 && perSecond < Double.POSITIVE_INFINITY,
        "perSecond must be a number of at least 0: %s",
        perSecond);
    return new AdvertisedRateLimit(Kind.LIMITED, perSecond);
  }

  /** Returns what an answer says whose limit can't be read: nothing, whatever was known before. */
  public static AdvertisedRateLimit unreadable() {
    return UNREADABLE;
  }

  /** Returns whether it is a limit. */
  public boolean isLimited() {
    return kind == Kind.LIMITED;
  }

  /** Returns whether the answer names a limit that can't be read. */
  public boolean isUnreadable() {
    return kind == Kind.UNREADABLE;
  }

  /** Returns the requests a second that the endpoint takes; it must be a limit. */
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
