package org.vaneworks.state.entry;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * A service that receives a share of a route's requests.
 *
 * @param service the service's name
 * @param weight its share, relative to the sum of the route's weights
 */
public record WeightedService(String service, double weight) {
  /** Checks the weight. */
  public WeightedService {
    checkArgument(
        weight >= 0 && Double.isFinite(weight),
        "weight of %s must be finite and not negative: %s",
        service,
        weight);
  }
}
