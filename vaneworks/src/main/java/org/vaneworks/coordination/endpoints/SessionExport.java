package org.vaneworks.coordination.endpoints;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * A session's state, exported from one engine to be imported by another.
 *
 * @param session the session that was exported
 * @param steps number of steps that ran in it
 * @param state the state in the engine's own format, opaque to the node
 */
public record SessionExport(SessionId session, int steps, String state) {
  /** Checks the step count. */
  public SessionExport {
    checkNotNull(session);
    checkNotNull(state);
    checkArgument(steps > 0, "steps must be positive: %s", steps);
  }
}
