package org.vaneworks.coordination.once;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;
import java.util.Optional;
import org.vaneworks.state.Priority;

/**
 * A request that runs at most once, in the form in which it is sent to the node that may run it.
 *
 * @param recordId identifier of the record: a ticket, or a claim with its prefix
 * @param mayCreate whether the holder may start the request if it has no record of it
 * @param workspace name of the workspace
 * @param work the work to run
 * @param priority the priority, if set by the caller
 * @param deadline how long the caller waits for the whole answer
 */
public record OnceRequest(
    String recordId,
    boolean mayCreate,
    String workspace,
    OnceWork work,
    Optional<Priority> priority,
    Optional<Duration> deadline) {
  /** Checks that the components are given. */
  public OnceRequest {
    checkArgument(!recordId.isEmpty(), "recordId must not be empty");
    checkNotNull(workspace);
    checkNotNull(work);
    checkNotNull(priority);
    checkNotNull(deadline);
  }
}
