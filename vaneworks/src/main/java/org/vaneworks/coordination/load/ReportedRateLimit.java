package org.vaneworks.coordination.load;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;
import org.vaneworks.state.AdvertisedRateLimit;

/**
 * The rate limit that an endpoint announced to some node.
 *
 * @param endpointKey short key of the endpoint, see {@link EndpointLoad#keyOf}
 * @param limit the limit; unlimited if the endpoint withdrew an earlier limit
 * @param age time since the endpoint announced it
 */
public record ReportedRateLimit(int endpointKey, AdvertisedRateLimit limit, Duration age) {
  /** Checks that the limit was readable and the age is not negative. */
  public ReportedRateLimit {
    checkArgument(!limit.isUnreadable(), "unreadable limit of endpoint %s", endpointKey);
    checkArgument(!age.isNegative(), "age must not be negative: %s", age);
  }
}
