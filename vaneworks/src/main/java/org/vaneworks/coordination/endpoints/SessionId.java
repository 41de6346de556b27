package org.vaneworks.coordination.endpoints;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.vaneworks.state.LayerRange;
import org.vaneworks.state.StreamId;

/**
 * Identifies a session: the state that an engine keeps for one stream in one epoch.
 *
 * @param stream the stream
 * @param epoch counter of the stream's recoveries and moves; a higher epoch fences off lower ones
 * @param layers the layers that run in the session
 */
public record SessionId(StreamId stream, int epoch, LayerRange layers) {
  /** Checks the epoch. */
  public SessionId {
    checkNotNull(stream);
    checkNotNull(layers);
    checkArgument(epoch > 0, "epoch must be positive: %s", epoch);
  }
}
