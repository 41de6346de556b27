package org.vaneworks.coordination.fleet;

import static com.google.common.base.Preconditions.checkNotNull;
import static java.util.concurrent.TimeUnit.NANOSECONDS;

import io.servicetalk.concurrent.Executor;
import java.time.Duration;
import java.util.Optional;
import org.vaneworks.state.StorePosition;

/**
 * How long an entry that went may only have lapsed because the store was away, and which entries
 * prove that it was not.
 *
 * <p>Confined to the node's event loop.
 */
final class OutageGrace {
  private final Executor clock;
  private final Duration grace;
  private long silentAt = Long.MIN_VALUE / 2;
  private Optional<StorePosition> positionBefore = Optional.empty();

  /**
   * Makes one that knows of no outage.
   *
   * @param grace counted from the beginning of the last call to the store that failed
   */
  OutageGrace(Executor clock, Duration grace) {
    this.clock = checkNotNull(clock);
    this.grace = checkNotNull(grace);
  }

  /** Notes a call that failed, which was begun at that time on the clock. */
  void noteSilent(long callBegunAt) {
    silentAt = callBegunAt;
  }

  /** Sets up to which position the list was known before; empty if it was not. */
  void positionBefore(Optional<StorePosition> position) {
    positionBefore = position;
  }

  /** Returns the nanoseconds until entries have had the time to come back; not positive if so. */
  long left() {
    return silentAt + grace.toNanos() - clock.currentTime(NANOSECONDS);
  }

  /** Returns whether an entry stood before the outage and has not lapsed in it. */
  boolean outlivedBy(FleetEndpoint endpoint) {
    return positionBefore.isPresent() && !endpoint.listedAt().isAfter(positionBefore.get());
  }
}
