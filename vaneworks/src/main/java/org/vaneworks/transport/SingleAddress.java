package org.vaneworks.transport;

import io.servicetalk.http.api.FilterableStreamingHttpLoadBalancedConnection;
import io.servicetalk.http.api.HttpLoadBalancerFactory;
import io.servicetalk.http.netty.DefaultHttpLoadBalancerFactory;
import io.servicetalk.loadbalancer.LoadBalancers;
import io.servicetalk.loadbalancer.OutlierDetectorConfig;

/**
 * Connections to a client's only address, without the library's own judgement of its health.
 *
 * <p>The library is made to choose between many addresses. By default it gives an address no more
 * calls after five failed connections and tries it again after 5 s and up to 3 s more; with one
 * address that means that every call fails unsent, also when the way has been open for seconds.
 * Nodes that had lost the store for 10 s saw it again 6.5 to 10.5 s after the way was open (three
 * nodes, one day). Who is dead and when to ask again is decided in {@code coordination}.
 */
public final class SingleAddress {
  /** The library takes a negative number of failed connections as "never". */
  private static final int NEVER = -1;

  private SingleAddress() {}

  /** Returns a factory whose address always gets the next call. */
  public static <A> HttpLoadBalancerFactory<A> alwaysTried() {
    OutlierDetectorConfig judgesNothing =
        new OutlierDetectorConfig.Builder()
            .failedConnectionsThreshold(NEVER)
            .enforcingConsecutive5xx(0)
            .enforcingSuccessRate(0)
            .enforcingFailurePercentage(0)
            .build();
    return DefaultHttpLoadBalancerFactory.Builder.<A>from(
            LoadBalancers.<A, FilterableStreamingHttpLoadBalancedConnection>builder(
                    "single-address")
                .outlierDetectorConfig(judgesNothing)
                .build())
        .build();
  }
}
