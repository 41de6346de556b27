package org.vaneworks.coordination;

import com.google.errorprone.annotations.concurrent.GuardedBy;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.vaneworks.state.Reason;
import org.vaneworks.state.Refusal;

/**
 * Whether the node takes requests, and how many are in flight.
 *
 * <p>Counting a request in and refusing it are one step under one lock, so that none slips in after
 * the stop has seen the last one out. Thread-safe.
 */
public final class Lifecycle {
  /** The phases of a node's life, in order. */
  public enum Phase {
    /** No configuration was read yet. */
    STARTING,
    /** Takes requests. */
    READY,
    /** Tells the balancer that it is going, and still takes requests. */
    LEAVING,
    /** Refuses new requests and finishes those in flight. */
    REFUSING
  }

  private static final Duration ANOTHER_NODE = Duration.ofMillis(100);

  @GuardedBy("this")
  private Phase phase = Phase.STARTING;

  @GuardedBy("this")
  private int inFlight;

  @GuardedBy("this")
  private Optional<CompletableFuture<Void>> idle = Optional.empty();

  private Lifecycle() {}

  /** Returns the life of a node that starts. */
  public static Lifecycle create() {
    return new Lifecycle();
  }

  /** Returns the present phase. */
  public synchronized Phase phase() {
    return phase;
  }

  /** Moves on to a later phase; an earlier one is ignored. */
  public synchronized void advance(Phase next) {
    if (next.compareTo(phase) > 0) {
      phase = next;
    }
  }

  /** Counts a request in, or says why it can't be taken. */
  synchronized Optional<Refusal> enter() {
    if (phase == Phase.STARTING) {
      return Optional.of(
          Refusal.nothingSent(Reason.NOT_READY, "the configuration was not read yet")
              .withRetryAfter(Duration.ofSeconds(1)));
    }
    if (phase == Phase.REFUSING) {
      return Optional.of(
          Refusal.nothingSent(Reason.STOPPING, "ask again; the balancer knows other nodes")
              .withRetryAfter(ANOTHER_NODE));
    }
    inFlight++;
    return Optional.empty();
  }

  /** Counts a request out. */
  void leave() {
    Optional<CompletableFuture<Void>> done;
    synchronized (this) {
      inFlight--;
      done = inFlight == 0 ? idle : Optional.empty();
    }
    done.ifPresent(future -> future.complete(null));
  }

  /** Returns how many requests are in flight. */
  public synchronized int inFlight() {
    return inFlight;
  }

  /** Returns a future that is done once no request is in flight; to be asked when refusing. */
  synchronized CompletableFuture<Void> whenIdle() {
    CompletableFuture<Void> done = idle.orElseGet(CompletableFuture::new);
    idle = Optional.of(done);
    if (inFlight == 0) {
      done.complete(null);
    }
    return done;
  }
}
