package org.vaneworks.coordination.endpoints;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * A session's state, taken out of one engine to be put into another.
 *
 * @param session whose state
 * @param steps how many steps ran in it
 * @param state the engine's own form, opaque here
 */
public record SessionExport(SessionId session, int steps, String state) {
  /** Checks the step count. */
  public SessionExport {
    checkNotNull(session);
    checkNotNull(state);
    checkArgument(steps > 0, "steps must be positive: %s", steps);
  }
}
