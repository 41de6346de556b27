package org.vaneworks.coordination.relay;

import org.vaneworks.coordination.fleet.TrackedEndpoint;
import org.vaneworks.state.LayerRange;

/**
 * The layers that one engine runs for a request; may be a part of the layers that the engine holds.
 *
 * @param engine the engine
 * @param layers the layers that it runs
 */
public record PathPart(TrackedEndpoint engine, LayerRange layers) {}
