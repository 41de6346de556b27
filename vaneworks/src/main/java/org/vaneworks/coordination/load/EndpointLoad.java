package org.vaneworks.coordination.load;

import static com.google.common.base.Preconditions.checkArgument;

import org.vaneworks.coordination.fleet.FleetEndpoint;

/**
 * The load that the requests of one node or group put on an endpoint.
 *
 * @param endpointKey short key of the endpoint, see {@link #keyOf}
 * @param requests number of requests in flight
 * @param tokenLayers memory that the requests need when they end, in tokens times layers
 */
public record EndpointLoad(int endpointKey, int requests, long tokenLayers) {
  /** Checks that both figures are not negative. */
  public EndpointLoad {
    checkArgument(requests >= 0, "requests must not be negative: %s", requests);
    checkArgument(tokenLayers >= 0, "tokenLayers must not be negative: %s", tokenLayers);
  }

  /**
   * Returns the short key of one incarnation of an endpoint: four bytes instead of its ID and start
   * time.
   *
   * <p>A former incarnation has another key, so late reports about it do not affect the next one.
   *
   * <p>Two endpoints with the same key would share their load. Among 2,400 endpoints the
   * probability that any two collide is 0.07%.
   */
  public static int keyOf(FleetEndpoint endpoint) {
    // Both hash functions are specified by their types, so all nodes compute the same key.
    int incarnationHash = Long.hashCode(endpoint.incarnation().startedAt().orElse(0));
    return endpoint.id().hashCode() * 31 + incarnationHash;
  }
}
