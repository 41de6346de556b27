package org.vaneworks.transport.entry;

import static com.google.common.base.Preconditions.checkNotNull;
import static java.util.concurrent.TimeUnit.NANOSECONDS;

import com.google.common.annotations.VisibleForTesting;
import io.servicetalk.concurrent.TimeSource;
import java.time.Duration;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;

/**
 * A head or a body that has arrived in part. It may be given up when memory is short and its client
 * has stopped sending, or sends very slowly. Confined to the event loop of its connection.
 */
final class PendingInput {
  /** Time without input after which a client counts as stalled. */
  @VisibleForTesting static final Duration MAX_PAUSE = Duration.ofSeconds(1);

  /** Time after which the rate of the input is judged. */
  private static final Duration MIN_JUDGED = Duration.ofSeconds(3);

  /** Rate below which a client counts as stalled. */
  private static final long MIN_BYTES_PER_SECOND = 8 << 10;

  private final TimeSource clock;
  private final LongSupplier receivedBytes;
  private final BooleanSupplier waiting;
  private final BooleanSupplier ending;
  private final LongSupplier heldBytes;
  private final Runnable giveUp;
  private final long startedAt;
  private long lastInputAt;
  private long lastReceivedBytes;

  /**
   * Creates input that has just begun.
   *
   * @param receivedBytes returns how much has arrived
   * @param waiting returns whether nothing else is in progress on the connection
   * @param ending returns whether the connection has delivered its last response
   * @param heldBytes returns the memory that is free once the input is given up
   * @param giveUp closes the connection
   */
  PendingInput(
      TimeSource clock,
      LongSupplier receivedBytes,
      BooleanSupplier waiting,
      BooleanSupplier ending,
      LongSupplier heldBytes,
      Runnable giveUp) {
    this.clock = checkNotNull(clock);
    this.receivedBytes = checkNotNull(receivedBytes);
    this.waiting = checkNotNull(waiting);
    this.ending = checkNotNull(ending);
    this.heldBytes = checkNotNull(heldBytes);
    this.giveUp = checkNotNull(giveUp);
    startedAt = now();
    lastInputAt = startedAt;
    lastReceivedBytes = receivedBytes.getAsLong();
  }

  /** Records that input has been read. */
  void recordRead() {
    long received = receivedBytes.getAsLong();
    if (received != lastReceivedBytes) {
      lastReceivedBytes = received;
      lastInputAt = now();
    }
  }

  /** Returns whether the client has stopped, is very slow, or has nothing more to receive. */
  boolean isStalled() {
    long age = now() - startedAt;
    boolean paused = now() - lastInputAt >= MAX_PAUSE.toNanos();
    boolean slow =
        age >= MIN_JUDGED.toNanos() && receivedBytes.getAsLong() * 1e9 / age < MIN_BYTES_PER_SECOND;
    return ending.getAsBoolean() || ((paused || slow) && waiting.getAsBoolean());
  }

  /** Returns the memory that is free once the input is given up. */
  long heldBytes() {
    return heldBytes.getAsLong();
  }

  void giveUp() {
    giveUp.run();
  }

  private long now() {
    return clock.currentTime(NANOSECONDS);
  }
}
