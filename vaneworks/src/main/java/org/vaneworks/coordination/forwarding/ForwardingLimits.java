package org.vaneworks.coordination.forwarding;

import java.time.Duration;

/**
 * Forwarding limits set by the operator of the fleet.
 *
 * @param keyFreshness the maximum age of the last confirmation of the configuration for requests to
 *     be accepted; must be below the time within which a revoked key has to stop working
 * @param retryShare the retry budget of the whole fleet for each service, as a share of its
 *     requests
 * @param retryReserve retries of the whole fleet beyond that share, for each service and in any
 *     window
 * @param retryWindow the time window in which the fleet's retries are counted; zero if a process
 *     may use all of its reserve as soon as it starts
 */
public record ForwardingLimits(
    Duration keyFreshness, double retryShare, double retryReserve, Duration retryWindow) {}
