package org.vaneworks.coordination.requests;

import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;
import java.util.Optional;
import org.vaneworks.state.Priority;

/**
 * The options of a request that a caller sets with HTTP headers.
 *
 * @param repeatable whether the request may run more than once
 * @param key idempotency key chosen by the caller
 * @param ticket ticket that the caller obtained earlier
 * @param priority priority, if other than the default of the workspace
 * @param deadline how long the caller waits for the whole answer
 */
public record CallerOptions(
    Optional<Boolean> repeatable,
    Optional<String> key,
    Optional<String> ticket,
    Optional<Priority> priority,
    Optional<Duration> deadline) {
  /** The options of a request without any of the headers. */
  public static final CallerOptions NONE =
      new CallerOptions(
          Optional.empty(), Optional.empty(), Optional.empty(), Optional.empty(), Optional.empty());

  /** Checks that the components are given. */
  public CallerOptions {
    checkNotNull(repeatable);
    checkNotNull(key);
    checkNotNull(ticket);
    checkNotNull(priority);
    checkNotNull(deadline);
  }
}
