package org.vaneworks.transport;

import io.servicetalk.http.api.FilterableStreamingHttpLoadBalancedConnection;
import io.servicetalk.http.api.HttpLoadBalancerFactory;
import io.servicetalk.http.netty.DefaultHttpLoadBalancerFactory;
import io.servicetalk.loadbalancer.LoadBalancers;
import io.servicetalk.loadbalancer.OutlierDetectorConfig;

/**
 * Load balancer factory for clients with a single address, without ServiceTalk's outlier detection.
 *
 * <p>ServiceTalk's load balancer is designed for many addresses. By default it ejects an address
 * after five failed connection attempts and probes it again after 5 to 8 s. With a single address
 * every call then fails without being sent, even if the network recovered seconds ago: three nodes
 * that were cut off from the store for 10 s reached it again only 6.5 to 10.5 s after the network
 * had recovered. Failure detection and retries are decided in {@code coordination}.
 */
public final class SingleAddressLoadBalancer {
  /** A negative threshold of failed connections disables ejection. */
  private static final int NO_THRESHOLD = -1;

  private SingleAddressLoadBalancer() {}

  /** Returns a factory whose load balancer never ejects the address. */
  public static <A> HttpLoadBalancerFactory<A> withoutOutlierDetection() {
    OutlierDetectorConfig noOutlierDetection =
        new OutlierDetectorConfig.Builder()
            .failedConnectionsThreshold(NO_THRESHOLD)
            .enforcingConsecutive5xx(0)
            .enforcingSuccessRate(0)
            .enforcingFailurePercentage(0)
            .build();
    return DefaultHttpLoadBalancerFactory.Builder.<A>from(
            LoadBalancers.<A, FilterableStreamingHttpLoadBalancedConnection>builder(
                    "single-address")
                .outlierDetectorConfig(noOutlierDetection)
                .build())
        .build();
  }
}
