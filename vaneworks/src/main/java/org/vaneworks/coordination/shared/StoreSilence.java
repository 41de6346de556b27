package org.vaneworks.coordination.shared;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * A time in which the store answered none of a follower's calls. Times are nanoseconds on the
 * runtime's clock.
 *
 * @param lastAnswerAskedAt when the newest answered call before it was asked
 * @param lastRevision the store's counter up to which changes were known before it; negative if
 *     nothing was
 * @param lastCallBegunAt when the newest failed call was begun
 * @param failedCalls how many calls failed
 * @param lastCause why the newest of them failed
 */
public record StoreSilence(
    long lastAnswerAskedAt,
    long lastRevision,
    long lastCallBegunAt,
    int failedCalls,
    String lastCause) {
  /** Checks that a cause is given. */
  public StoreSilence {
    checkNotNull(lastCause);
  }

  /** Returns a silence without a failed call yet. */
  static StoreSilence since(long lastAnswerAskedAt, long lastRevision) {
    return new StoreSilence(lastAnswerAskedAt, lastRevision, lastAnswerAskedAt, 0, "");
  }

  /** Returns this silence with one more failed call. */
  StoreSilence and(long begunAt, String cause) {
    return new StoreSilence(lastAnswerAskedAt, lastRevision, begunAt, failedCalls + 1, cause);
  }
}
