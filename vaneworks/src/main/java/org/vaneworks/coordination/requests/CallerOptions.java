package org.vaneworks.coordination.requests;

import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;
import java.util.Optional;
import org.vaneworks.state.Priority;

/**
 * What a caller's headers say of a request.
 *
 * @param repeatable whether it may run more than once, if the caller says so
 * @param key the caller's own idempotency key
 * @param ticket a ticket taken before
 * @param priority how urgent, if other than the workspace's default
 * @param deadline how long the caller waits
 */
public record CallerOptions(
    Optional<Boolean> repeatable,
    Optional<String> key,
    Optional<String> ticket,
    Optional<Priority> priority,
    Optional<Duration> deadline) {
  /** The options of a caller that sends no header. */
  public static final CallerOptions NONE =
      new CallerOptions(
          Optional.empty(), Optional.empty(), Optional.empty(), Optional.empty(), Optional.empty());

  /** Checks that every part is given. */
  public CallerOptions {
    checkNotNull(repeatable);
    checkNotNull(key);
    checkNotNull(ticket);
    checkNotNull(priority);
    checkNotNull(deadline);
  }
}
