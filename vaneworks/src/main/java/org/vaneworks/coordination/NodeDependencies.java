package org.vaneworks.coordination;

import static com.google.common.base.Preconditions.checkNotNull;

import io.servicetalk.concurrent.Executor;
import java.util.Random;
import org.vaneworks.coordination.boxes.BoxList;
import org.vaneworks.coordination.configuration.ConfigurationFormat;
import org.vaneworks.coordination.endpoints.EndpointClient;
import org.vaneworks.coordination.membership.PeerLink;
import org.vaneworks.coordination.once.ClaimFormat;
import org.vaneworks.coordination.store.PlatformStore;
import org.vaneworks.telemetry.Counters;

/**
 * The external services that a node depends on.
 *
 * @param executor worker pool, timers and clock
 * @param random source of random numbers
 * @param store the platform's store
 * @param boxes the platform's box list
 * @param endpoints sends calls to endpoints
 * @param peers sends calls to other nodes
 * @param configurationFormat encodes and decodes configurations
 * @param claimFormat encodes and decodes claims
 * @param counters the metrics of the node
 */
public record NodeDependencies(
    Executor executor,
    Random random,
    PlatformStore store,
    BoxList boxes,
    EndpointClient endpoints,
    PeerLink peers,
    ConfigurationFormat configurationFormat,
    ClaimFormat claimFormat,
    Counters counters) {
  /** Checks that the components are given. */
  public NodeDependencies {
    checkNotNull(executor);
    checkNotNull(random);
    checkNotNull(store);
    checkNotNull(boxes);
    checkNotNull(endpoints);
    checkNotNull(peers);
    checkNotNull(configurationFormat);
    checkNotNull(claimFormat);
    checkNotNull(counters);
  }
}
