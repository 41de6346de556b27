package org.vaneworks.coordination.forwarding;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.NoSuchElementException;
import org.vaneworks.coordination.fleet.TrackedEndpoint;

/**
 * The attempts of one request that continue until another attempt delivers an event.
 *
 * <p>Confined to the node's event loop.
 */
final class PreviousAttempts {
  /**
   * A previous attempt, whose capacity remains reserved.
   *
   * @param partOfEvent the bytes of an incomplete event
   * @param trigger why the attempt is to be abandoned
   */
  record PreviousAttempt(
      RunningAttempt attempt,
      EndpointSelector.Selection selection,
      byte[] partOfEvent,
      Failover.Trigger trigger) {}

  /** The attempts, latest first. */
  private final Deque<PreviousAttempt> attempts = new ArrayDeque<>();

  boolean isEmpty() {
    return attempts.isEmpty();
  }

  /** Returns whether an attempt is among these; called for each event, so it allocates nothing. */
  boolean contains(RunningAttempt attempt) {
    if (attempts.isEmpty()) {
      return false;
    }
    for (PreviousAttempt previous : attempts) {
      if (previous.attempt() == attempt) {
        return true;
      }
    }
    return false;
  }

  void add(PreviousAttempt previous) {
    attempts.addFirst(previous);
  }

  /** Returns a previous attempt; it must be present. */
  PreviousAttempt get(RunningAttempt attempt) {
    return attempts.stream()
        .filter(previous -> previous.attempt() == attempt)
        .findFirst()
        .orElseThrow(NoSuchElementException::new);
  }

  /** Removes and returns a previous attempt; it must be present. */
  PreviousAttempt remove(RunningAttempt attempt) {
    PreviousAttempt found = get(attempt);
    attempts.remove(found);
    return found;
  }

  /** Removes and returns the latest previous attempt; there must be one. */
  PreviousAttempt removeLatest() {
    return attempts.removeFirst();
  }

  /** Removes and returns all previous attempts. */
  ImmutableList<PreviousAttempt> removeAll() {
    ImmutableList<PreviousAttempt> all = ImmutableList.copyOf(attempts);
    attempts.clear();
    return all;
  }

  /** Returns the endpoints of the previous attempts. */
  ImmutableSet<TrackedEndpoint> endpoints() {
    return attempts.stream()
        .map(previous -> previous.attempt().endpoint())
        .collect(ImmutableSet.toImmutableSet());
  }

  /**
   * Returns how many bytes of incomplete events are kept for the previous attempts; called for each
   * event, so it allocates nothing if there are none.
   */
  int eventBytes() {
    if (attempts.isEmpty()) {
      return 0;
    }
    int bytes = 0;
    for (PreviousAttempt previous : attempts) {
      bytes += previous.partOfEvent().length;
    }
    return bytes;
  }

  /** Reads the responses of all previous attempts again. */
  void resume() {
    attempts.forEach(previous -> previous.attempt().resume());
  }
}
