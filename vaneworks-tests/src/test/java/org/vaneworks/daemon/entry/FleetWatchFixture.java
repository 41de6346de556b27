package org.vaneworks.daemon.entry;

import com.google.common.collect.ImmutableSet;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.time.Duration;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.vaneworks.coordination.fleet.Fleet;
import org.vaneworks.coordination.fleet.FleetEndpoint;
import org.vaneworks.coordination.shared.PrefixFollower;
import org.vaneworks.coordination.shared.StoredItem;
import org.vaneworks.state.HostPort;
import org.vaneworks.telemetry.Counters;
import org.vaneworks.testlib.PausedExecutor;
import org.vaneworks.tests.shared.BoxClock;
import org.vaneworks.tests.shared.InMemorySharedStore;
import org.vaneworks.tests.shared.StoreLink;

/** One node's fleet, which follows the endpoint list in a store, under a paused clock. */
final class FleetWatchFixture {
  private static final String PREFIX = "servers/";
  private static final String SERVICE = "records";

  final PausedExecutor clock = PausedExecutor.create();
  final InMemorySharedStore store = new InMemorySharedStore(clock);
  final StoreLink link = new StoreLink(clock, store);
  private final Counters counters = Counters.in(new SimpleMeterRegistry());
  private final Fleet fleet = Fleet.create(clock, counters, EntryNode.RELIST_GRACE);
  final PrefixFollower follower;

  FleetWatchFixture(long seed) {
    follower =
        PrefixFollower.create(
            clock,
            new Random(seed),
            link,
            counters,
            PREFIX,
            () -> Duration.ofMillis(1250),
            () -> Duration.ofMillis(500),
            new EndpointListWatch(PREFIX, FleetWatchFixture::readEndpoint, fleet, counters),
            new BoxClock(clock).suspensionDetector());
  }

  private static FleetEndpoint readEndpoint(StoredItem item) {
    String id = item.key().substring(PREFIX.length());
    // Each id has an address of its own, since a new endpoint replaces a former one at its address.
    HostPort address = new HostPort("10.0.0.1", 1 + Math.floorMod(id.hashCode(), 65_000));
    return new FleetEndpoint(
        id, SERVICE, address, "dc1", 6, false, Optional.empty(), "", item.createdAt());
  }

  void list(String... ids) {
    for (String id : ids) {
      store.put(PREFIX + id, "ready");
    }
  }

  void unlist(String... ids) {
    for (String id : ids) {
      store.remove(PREFIX + id);
    }
  }

  boolean isListed(String id) {
    return store.has(PREFIX + id);
  }

  /** Returns the ids of the endpoints that currently get new work. */
  ImmutableSet<String> usable() {
    return fleet.usable(SERVICE).stream()
        .map(endpoint -> endpoint.endpoint().id())
        .collect(ImmutableSet.toImmutableSet());
  }

  void advance(int millis) {
    clock.advance(Duration.ofMillis(millis));
  }

  long nowMillis() {
    return clock.currentTime(TimeUnit.MILLISECONDS);
  }
}
