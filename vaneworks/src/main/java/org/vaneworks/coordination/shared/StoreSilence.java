package org.vaneworks.coordination.shared;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import org.vaneworks.state.StorePosition;

/**
 * A time in which the store answered none of a follower's calls. Times are nanoseconds on the
 * runtime's clock.
 *
 * @param lastAnswerAskedAt when the newest answered call before it was asked
 * @param lastPosition up to which changes were known before it; empty if nothing was
 * @param lastCallBegunAt when the newest failed call was begun
 * @param failedCalls how many calls failed
 * @param lastCause why the newest of them failed
 */
public record StoreSilence(
    long lastAnswerAskedAt,
    Optional<StorePosition> lastPosition,
    long lastCallBegunAt,
    int failedCalls,
    String lastCause) {
  /** Checks that a cause is given. */
  public StoreSilence {
    checkNotNull(lastCause);
  }

  /** Returns a silence without a failed call yet. */
  static StoreSilence since(long lastAnswerAskedAt, Optional<StorePosition> lastPosition) {
    return new StoreSilence(lastAnswerAskedAt, lastPosition, lastAnswerAskedAt, 0, "");
  }

  /** Returns this silence with one more failed call. */
  StoreSilence and(long begunAt, String cause) {
    return new StoreSilence(lastAnswerAskedAt, lastPosition, begunAt, failedCalls + 1, cause);
  }
}
