package org.vaneworks.coordination.shared;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import org.vaneworks.state.StorePosition;

/**
 * A period in which all of a follower's calls to the store failed. Times are nanoseconds on the
 * executor's clock.
 *
 * @param lastConfirmedAt when the last successful call before the outage was sent
 * @param lastPosition position up to which changes were known before the outage; empty if none
 * @param lastCallStartedAt when the latest failed call was started
 * @param failedCalls number of failed calls
 * @param lastCause why the latest call failed
 */
public record StoreOutage(
    long lastConfirmedAt,
    Optional<StorePosition> lastPosition,
    long lastCallStartedAt,
    int failedCalls,
    String lastCause) {
  /** Checks that the cause is not null. */
  public StoreOutage {
    checkNotNull(lastCause);
  }

  /** Returns an outage without any failed calls yet. */
  static StoreOutage since(long lastConfirmedAt, Optional<StorePosition> lastPosition) {
    return new StoreOutage(lastConfirmedAt, lastPosition, lastConfirmedAt, 0, "");
  }

  /** Returns a copy of this outage with one more failed call. */
  StoreOutage withFailure(long startedAt, String cause) {
    return new StoreOutage(lastConfirmedAt, lastPosition, startedAt, failedCalls + 1, cause);
  }
}
