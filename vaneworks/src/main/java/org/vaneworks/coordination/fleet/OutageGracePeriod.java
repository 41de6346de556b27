package org.vaneworks.coordination.fleet;

import static com.google.common.base.Preconditions.checkNotNull;
import static java.util.concurrent.TimeUnit.NANOSECONDS;

import io.servicetalk.concurrent.Executor;
import java.time.Duration;
import java.util.Optional;
import org.vaneworks.state.StorePosition;

/**
 * Determines how long a missing entry may merely have lapsed in a store outage, and which entries
 * prove that the store was not down.
 *
 * <p>Confined to the node's event loop.
 */
final class OutageGracePeriod {
  private final Executor clock;
  private final Duration grace;
  private long lastFailedCallAt = Long.MIN_VALUE / 2;
  private Optional<StorePosition> positionBefore = Optional.empty();

  /**
   * Creates an instance without a known outage.
   *
   * @param grace the grace period, counted from the start of the last failed call to the store
   */
  OutageGracePeriod(Executor clock, Duration grace) {
    this.clock = checkNotNull(clock);
    this.grace = checkNotNull(grace);
  }

  /** Records a failed call that started at the given time on the clock, in nanoseconds. */
  void recordFailure(long callBegunAt) {
    lastFailedCallAt = callBegunAt;
  }

  /**
   * Sets the position up to which the list was known before the outage; empty if it was not known.
   */
  void setPositionBefore(Optional<StorePosition> position) {
    positionBefore = position;
  }

  /** Returns the remaining grace period in nanoseconds; zero or negative if it has ended. */
  long remainingNanos() {
    return lastFailedCallAt + grace.toNanos() - clock.currentTime(NANOSECONDS);
  }

  /** Returns whether an entry existed before the outage and did not lapse during it. */
  boolean survivedBy(FleetEndpoint endpoint) {
    return positionBefore.isPresent() && !endpoint.listedAt().isAfter(positionBefore.get());
  }
}
