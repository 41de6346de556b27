package org.vaneworks.transport.entry;

import static com.google.common.base.Preconditions.checkState;

/**
 * The memory that one request holds of a {@link MemoryBudget}.
 *
 * <p>Its users are the response to the caller and each attempt that may still write the body. The
 * bytes are returned to the budget once, when the last user has released the lease. Confined to the
 * node's event loop.
 */
final class MemoryLease {
  private final MemoryBudget budget;
  private long bytes;

  /** The memory of the request's head, which is held until the last user has released the lease. */
  private long headBytes;

  private long partialEventBytes;
  private int users = 1;

  /** Creates a lease with one user. */
  MemoryLease(MemoryBudget budget) {
    this.budget = budget;
  }

  MemoryBudget budget() {
    return budget;
  }

  /** Takes more bytes; returns false and takes none if the budget has no room or all have ended. */
  boolean tryGrow(long moreBytes) {
    long before = bytes;
    // Making room may end this request itself.
    if (users == 0
        || !budget.hasRoom(moreBytes, bytes + moreBytes)
        || users == 0
        || bytes != before) {
      return false;
    }
    bytes += moreBytes;
    budget.add(moreBytes);
    return true;
  }

  /** Takes over the memory of the request's head, which the budget counts already. */
  void adoptHead(long countedBytes) {
    checkState(users > 0, "the lease has ended");
    headBytes += countedBytes;
  }

  /**
   * Sets the number of bytes of an incomplete event; returns whether the budget has room for them.
   * Streams with events of the usual size go on when it has not.
   */
  boolean holdPartialEvent(long newBytes) {
    if (users == 0) {
      return true;
    }
    long change = newBytes - partialEventBytes;
    boolean allowed =
        change <= 0
            || newBytes <= MemoryBudget.SMALL_REQUEST_BYTES
            || budget.hasRoom(change, newBytes);
    partialEventBytes = newBytes;
    budget.add(change);
    return allowed;
  }

  /** Returns the bytes that are held for the body. */
  long bodyBytes() {
    return bytes;
  }

  /** Returns the bytes of the body before the request has ended, as it is not held any more. */
  void shrinkToNothing() {
    budget.add(-bytes - partialEventBytes);
    bytes = 0;
    partialEventBytes = 0;
  }

  /** Adds a user. */
  void retain() {
    checkState(users > 0, "the lease has ended");
    users++;
  }

  /** Removes a user; the last one returns the bytes to the budget. */
  void release() {
    checkState(users > 0, "the lease was released too often");
    users--;
    if (users == 0) {
      shrinkToNothing();
      budget.addInput(-headBytes);
      headBytes = 0;
    }
  }
}
