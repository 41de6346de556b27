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
 * Everything that a node reaches the outside through.
 *
 * @param executor worker pool, timers and clock
 * @param random seeded source of chance
 * @param store the platform's store
 * @param boxes the platform's box list
 * @param endpoints calls to endpoints
 * @param peers calls to other nodes
 * @param configurationFormat text forms of the configuration
 * @param claimFormat text form of claims
 * @param counters the node's counters
 */
public record NodeOutside(
    Executor executor,
    Random random,
    PlatformStore store,
    BoxList boxes,
    EndpointClient endpoints,
    PeerLink peers,
    ConfigurationFormat configurationFormat,
    ClaimFormat claimFormat,
    Counters counters) {
  /** Checks that every part is given. */
  public NodeOutside {
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
