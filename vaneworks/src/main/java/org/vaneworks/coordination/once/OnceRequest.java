package org.vaneworks.coordination.once;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;
import java.util.Optional;
import org.vaneworks.state.Priority;

/**
 * A request that runs at most once, as its holder is asked for it.
 *
 * @param recordId names the record: a ticket, or a claim
 * @param mayCreate whether the holder may start it if it has no record
 * @param workspace the workspace
 * @param work what to run
 * @param priority how urgent, if the caller says so
 * @param deadline how long the caller waits
 */
public record OnceRequest(
    String recordId,
    boolean mayCreate,
    String workspace,
    OnceWork work,
    Optional<Priority> priority,
    Optional<Duration> deadline) {
  /** Checks that every part is given. */
  public OnceRequest {
    checkArgument(!recordId.isEmpty(), "a record must be named");
    checkNotNull(workspace);
    checkNotNull(work);
    checkNotNull(priority);
    checkNotNull(deadline);
  }
}
