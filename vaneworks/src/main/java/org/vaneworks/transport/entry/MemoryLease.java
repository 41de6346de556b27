package org.vaneworks.transport.entry;

import static com.google.common.base.Preconditions.checkState;

import java.util.Optional;
import org.vaneworks.state.HostPort;

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

  /** What is held of an incomplete event, and the endpoint that sent it. */
  private long partialEventBytes;

  private Optional<HostPort> eventEndpoint = Optional.empty();
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
   * Sets the number of bytes of an incomplete event of an endpoint; returns whether the budget has
   * room for them, without which the number stays. Streams with events of the usual size go on when
   * it has not.
   */
  boolean holdPartialEvent(HostPort endpoint, long newBytes) {
    long change = newBytes - partialEventBytes;
    if (users == 0 || change == 0) {
      return true;
    }
    if (change > 0
        && newBytes > MemoryBudget.SMALL_RESPONSE_BYTES
        && !budget.hasRoomForEndpoint(endpoint, change, newBytes)) {
      return false;
    }
    dropPartialEvent();
    partialEventBytes = newBytes;
    eventEndpoint = Optional.of(endpoint);
    budget.addForEndpoint(endpoint, newBytes);
    return true;
  }

  private void dropPartialEvent() {
    eventEndpoint.ifPresent(endpoint -> budget.addForEndpoint(endpoint, -partialEventBytes));
    partialEventBytes = 0;
  }

  /** Returns the bytes that are held for the body. */
  long bodyBytes() {
    return bytes;
  }

  /** Returns the bytes of the body before the request has ended, as it is not held any more. */
  void shrinkToNothing() {
    budget.add(-bytes);
    bytes = 0;
    dropPartialEvent();
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
