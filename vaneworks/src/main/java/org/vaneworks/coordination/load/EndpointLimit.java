package org.vaneworks.coordination.load;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;
import org.vaneworks.state.AdvertisedRateLimit;

/**
 * What an endpoint said to some node about the requests that it takes.
 *
 * @param endpointKey short name of the endpoint, see {@link EndpointLoad#keyOf}
 * @param stated its limit, or that it has none any more
 * @param age since it said so
 */
public record EndpointLimit(int endpointKey, AdvertisedRateLimit stated, Duration age) {
  /** Checks that it can be told. */
  public EndpointLimit {
    checkArgument(!stated.isUnreadable(), "nothing is known of endpoint %s", endpointKey);
    checkArgument(!age.isNegative(), "age must not be negative: %s", age);
  }
}
