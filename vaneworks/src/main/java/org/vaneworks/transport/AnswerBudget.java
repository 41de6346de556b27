package org.vaneworks.transport;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.annotations.VisibleForTesting;
import com.google.errorprone.annotations.concurrent.GuardedBy;
import java.util.HashMap;
import java.util.Map;
import org.vaneworks.state.HostPort;

/**
 * Bounds the memory that the answers to all calls of an {@link HttpSender} hold until the calls
 * have ended, with a lower bound for those of one address.
 *
 * <p>Small answers may exceed both bounds by a share of them, so that sound servers are heard while
 * the answers of others take all the rest. Thread-safe.
 */
final class AnswerBudget {
  /** Maximum size of what one call or connection holds that counts as small. */
  @VisibleForTesting static final int SMALL_ANSWER_BYTES = 32 << 10;

  /** Share of a bound by which small answers may exceed it. */
  private static final double SMALL_ANSWERS_SHARE = 1.0 / 2;

  /** Share of the limit that the answers of one address may hold, unless one answer takes more. */
  private static final double ADDRESS_SHARE = 1.0 / 4;

  /** No process holds more of its heap for the answers to one sender. */
  private static final double MAX_HEAP_SHARE = 1.0 / 2;

  private final long limitBytes;
  private final long addressLimitBytes;

  @GuardedBy("this")
  private long heldBytes;

  /** What the answers of each address hold, if anything. */
  @GuardedBy("this")
  private final Map<HostPort, Long> addressBytes = new HashMap<>();

  private AnswerBudget(long limitBytes, long addressLimitBytes) {
    checkArgument(addressLimitBytes > 0, "must be positive: %s", addressLimitBytes);
    checkArgument(limitBytes >= addressLimitBytes, "too small: %s", limitBytes);
    this.limitBytes = limitBytes;
    this.addressLimitBytes = addressLimitBytes;
  }

  /** Returns a budget of which nothing is held. */
  static AnswerBudget of(long limitBytes, long addressLimitBytes) {
    return new AnswerBudget(limitBytes, addressLimitBytes);
  }

  /**
   * Returns a budget of which nothing is held.
   *
   * @param heapShare share of this process's heap, unless one answer takes more
   * @param answerBytes what the largest answer takes
   */
  static AnswerBudget ofHeap(double heapShare, long answerBytes) {
    long heapBytes = Runtime.getRuntime().maxMemory();
    long limit = (long) Math.max(heapBytes * heapShare, answerBytes);
    limit = (long) Math.min(limit, heapBytes * MAX_HEAP_SHARE);
    long addressLimit = (long) Math.max(limit * ADDRESS_SHARE, answerBytes);
    return of(limit, Math.min(limit, addressLimit));
  }

  /** Returns the number of bytes that are held now. */
  @VisibleForTesting
  synchronized long heldBytes() {
    return heldBytes;
  }

  /** Returns the account of the answers of an address. */
  UndecodedInputLimit.Account account(HostPort address) {
    return new UndecodedInputLimit.Account() {
      @Override
      public boolean tryTake(long bytes, long totalBytes) {
        return AnswerBudget.this.tryTake(address, bytes, totalBytes);
      }

      @Override
      public void giveBack(long bytes) {
        add(address, -bytes);
      }
    };
  }

  private synchronized boolean tryTake(HostPort address, long bytes, long totalBytes) {
    double factor = totalBytes <= SMALL_ANSWER_BYTES ? 1 + SMALL_ANSWERS_SHARE : 1;
    if (heldBytes + bytes > limitBytes * factor
        || addressBytes.getOrDefault(address, 0L) + bytes > addressLimitBytes * factor) {
      return false;
    }
    add(address, bytes);
    return true;
  }

  private synchronized void add(HostPort address, long bytes) {
    if (bytes == 0) {
      return;
    }
    heldBytes += bytes;
    addressBytes.merge(address, bytes, (held, more) -> held + more == 0 ? null : held + more);
  }
}
