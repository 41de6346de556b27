package org.vaneworks.coordination.forwarding;

import java.time.Duration;
import java.util.Optional;
import org.vaneworks.coordination.fleet.FleetEndpoint;

/**
 * One attempt to run a request at an endpoint.
 *
 * @param request the caller's request
 * @param endpoint the endpoint that receives the request
 * @param path the engine path in its wire format; empty for a plain service
 * @param remaining the time left until the request's deadline
 * @param workspace the workspace that the request belongs to; empty if the route is open
 * @param resumeAfter the id of the last event that the caller received; empty to use the position
 *     in the caller's own request
 * @param engineLevel the priority for engines: 0, the most urgent, to 9
 * @param hop what the endpoint is told if it is a peer; empty for endpoints
 */
public record Attempt(
    CallerRequest request,
    FleetEndpoint endpoint,
    Optional<String> path,
    Duration remaining,
    Optional<String> workspace,
    Optional<String> resumeAfter,
    int engineLevel,
    Optional<PeerHop> hop) {}
