package org.vaneworks.coordination.forwarding;

import static com.google.common.base.Preconditions.checkNotNull;
import static java.util.concurrent.TimeUnit.NANOSECONDS;

import io.servicetalk.concurrent.Executor;
import java.time.Duration;
import java.util.Optional;
import org.vaneworks.coordination.fleet.TrackedEndpoint;

/**
 * The search for another place of a request whose endpoint gives no sign of life.
 *
 * <p>Silence proves nothing, so the attempt goes on until the other place is taken, and for good if
 * there is none: whatever the endpoint still says is passed on. Confined to the node's event loop.
 */
final class ElsewhereSearch {
  /**
   * Why the present attempt is to be left.
   *
   * @param silent the engine that gives no sign of life
   */
  record Departure(AttemptEnd end, TrackedEndpoint silent, String cause) {}

  /** The request that seeks. */
  interface Owner {
    /** Returns why it may not be sent again if its attempt is left now. */
    Optional<Denial> denialIfLeft();

    /** Seeks a place, or goes on waiting for one. */
    void seekPlace();

    /** Waits for a place no longer. */
    void leaveLine();

    /** Remains where it is, or is given up. */
    void denied(Departure departure, Denial denial);
  }

  private final Executor clock;
  private final Owner owner;
  private Optional<Departure> departure = Optional.empty();
  private long notBefore;
  private boolean told;

  ElsewhereSearch(Executor clock, Owner owner) {
    this.clock = checkNotNull(clock);
    this.owner = checkNotNull(owner);
  }

  boolean isOn() {
    return departure.isPresent();
  }

  /** Returns why the attempt is to be left; the search must be on. */
  Departure departure() {
    return departure.orElseThrow();
  }

  /**
   * Begins, unless it is on.
   *
   * @param wait until another place may be sought
   */
  void begin(Departure wanted, Duration wait) {
    if (isOn()) {
      return;
    }
    departure = Optional.of(wanted);
    notBefore = clock.currentTime(NANOSECONDS) + wait.toNanos();
    if (wait.isZero()) {
      look();
    } else {
      clock.schedule(this::look, wait.toNanos(), NANOSECONDS);
    }
  }

  /** Looks whether the request may go on elsewhere, if the search is on. */
  void look() {
    if (!isOn() || clock.currentTime(NANOSECONDS) < notBefore) {
      return;
    }
    Optional<Denial> denial = owner.denialIfLeft();
    if (denial.isPresent()) {
      owner.denied(departure(), denial.get());
    } else {
      owner.seekPlace();
    }
  }

  /** Takes note that the line has no place in time, or may give it none. */
  void refused() {
    owner.denied(departure(), owner.denialIfLeft().orElse(Denial.NO_ROOM));
  }

  /** Runs the action if it was not run since the search began. */
  void tellOnce(Runnable action) {
    if (!told) {
      told = true;
      action.run();
    }
  }

  /** Ends if it was begun because of this engine, which answers again. */
  void recovered(TrackedEndpoint engine) {
    if (departure.filter(wanted -> wanted.silent() == engine).isPresent()) {
      end();
    }
  }

  /** Ends: the request makes progress, or its attempt is over. */
  void end() {
    if (isOn()) {
      departure = Optional.empty();
      told = false;
      owner.leaveLine();
    }
  }
}
