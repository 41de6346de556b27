package org.vaneworks.daemon.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.vaneworks.coordination.fleet.Fleet;
import org.vaneworks.coordination.fleet.FleetEndpoint;
import org.vaneworks.coordination.shared.StoreChanges;
import org.vaneworks.coordination.shared.StoredItem;
import org.vaneworks.state.HostPort;
import org.vaneworks.state.StorePosition;
import org.vaneworks.telemetry.Counters;
import org.vaneworks.telemetry.Metric;
import org.vaneworks.testlib.PausedExecutor;

/** Checks how readable and unreadable entries change the endpoints in use. */
final class EndpointListWatchTest {
  private static final String PREFIX = "servers/";

  private final Counters counters = Counters.in(new SimpleMeterRegistry());
  private final Fleet fleet =
      Fleet.create(PausedExecutor.create(), counters, Duration.ofMillis(2500));
  private final EndpointListWatch watch =
      new EndpointListWatch(PREFIX, EndpointListWatchTest::read, fleet, counters);

  private static FleetEndpoint read(StoredItem item) {
    if (!item.value().equals("ready")) {
      throw new IllegalArgumentException("not an entry: " + item.value());
    }
    String id = item.key().substring(PREFIX.length());
    HostPort address = new HostPort("10.0.0.1", id.charAt(0));
    return new FleetEndpoint(
        id, "s", address, "dc1", 6, false, Optional.empty(), "", item.createdAt());
  }

  private void change(String id, String value) {
    watch.change(new StoreChanges.Change(item(id, value), false));
    watch.upToDate();
  }

  private static StoredItem item(String id, String value) {
    return new StoredItem(PREFIX + id, value, new StorePosition(0, 5), new StorePosition(0, 5));
  }

  private ImmutableSet<String> usable() {
    return fleet.usable("s").stream()
        .map(endpoint -> endpoint.endpoint().id())
        .collect(ImmutableSet.toImmutableSet());
  }

  @Test
  void unreadableEntryRemovesOnlyItsOwnEndpoint() {
    change("a", "ready");
    change("b", "ready");
    change("a", "????");
    assertEquals(ImmutableSet.of("b"), usable());
  }

  @Test
  void endpointIsUsedAgainOnceItsEntryIsReadable() {
    change("a", "ready");
    change("a", "????");
    change("a", "ready");
    assertEquals(ImmutableSet.of("a"), usable());
  }

  @Test
  void unreadableEntryInAFullReadDoesNotAffectOthers() {
    watch.replace(ImmutableList.of(item("a", "????"), item("b", "ready")));
    watch.upToDate();
    assertEquals(ImmutableSet.of("b"), usable());
  }

  @Test
  void eachUnreadableEntryIsCounted() {
    change("a", "????");
    change("a", "???");
    assertEquals(2, counters.value(Metric.ENDPOINT_ENTRIES, "unreadable"));
  }
}
