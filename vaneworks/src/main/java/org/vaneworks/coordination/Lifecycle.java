package org.vaneworks.coordination;

import com.google.errorprone.annotations.concurrent.GuardedBy;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.vaneworks.state.Reason;
import org.vaneworks.state.Refusal;

/**
 * Tracks whether the node accepts requests and how many are in flight.
 *
 * <p>Checking the phase and counting the request is one atomic step, so that no request is accepted
 * after a stop has found the node idle. Thread-safe.
 */
public final class Lifecycle {
  /** The phases of a node, in order. */
  public enum Phase {
    /** The node has not read a configuration yet and refuses requests. */
    STARTING,
    /** The node accepts requests. */
    READY,
    /** The node reports to the load balancer that it is not ready, but still accepts requests. */
    LEAVING,
    /** The node refuses new requests and finishes those in flight. */
    REFUSING
  }

  /** Sent by a stopping node, so that the caller retries through the balancer on another node. */
  private static final Duration STOPPING_RETRY_AFTER = Duration.ofMillis(100);

  @GuardedBy("this")
  private Phase phase = Phase.STARTING;

  @GuardedBy("this")
  private int inFlight;

  @GuardedBy("this")
  private Optional<CompletableFuture<Void>> idle = Optional.empty();

  private Lifecycle() {}

  /** Creates the lifecycle of a node that is starting. */
  public static Lifecycle create() {
    return new Lifecycle();
  }

  /** Returns the current phase. */
  public synchronized Phase phase() {
    return phase;
  }

  /** Advances to a later phase; does nothing if the given phase is not later. */
  public synchronized void advance(Phase next) {
    if (next.compareTo(phase) > 0) {
      phase = next;
    }
  }

  /** Counts a new request as in flight, or returns the refusal if the node accepts none. */
  synchronized Optional<Refusal> enter() {
    if (phase == Phase.STARTING) {
      return Optional.of(
          Refusal.nothingSent(Reason.NOT_READY, "the configuration was not read yet")
              .withRetryAfter(Duration.ofSeconds(1)));
    }
    if (phase == Phase.REFUSING) {
      return Optional.of(
          Refusal.nothingSent(Reason.STOPPING, "ask again; the balancer knows other nodes")
              .withRetryAfter(STOPPING_RETRY_AFTER));
    }
    inFlight++;
    return Optional.empty();
  }

  /** Counts a request as ended. */
  void leave() {
    Optional<CompletableFuture<Void>> idleFuture;
    synchronized (this) {
      inFlight--;
      idleFuture = inFlight == 0 ? idle : Optional.empty();
    }
    idleFuture.ifPresent(future -> future.complete(null));
  }

  /** Returns the number of requests in flight. */
  public synchronized int inFlight() {
    return inFlight;
  }

  /** Returns a future that completes once no request is in flight; for the last phase only. */
  synchronized CompletableFuture<Void> whenIdle() {
    CompletableFuture<Void> idleFuture = idle.orElseGet(CompletableFuture::new);
    idle = Optional.of(idleFuture);
    if (inFlight == 0) {
      idleFuture.complete(null);
    }
    return idleFuture;
  }
}
