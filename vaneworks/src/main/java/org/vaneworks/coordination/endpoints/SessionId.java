package org.vaneworks.coordination.endpoints;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.vaneworks.state.LayerRange;
import org.vaneworks.state.StreamId;

/**
 * One lineage of one stream's state on one engine.
 *
 * @param stream whose
 * @param epoch counts the stream's lineages; a higher one fences the lower ones out
 * @param layers the layers that run in it
 */
public record SessionId(StreamId stream, int epoch, LayerRange layers) {
  /** Checks the epoch. */
  public SessionId {
    checkNotNull(stream);
    checkNotNull(layers);
    checkArgument(epoch > 0, "epoch must be positive: %s", epoch);
  }
}
