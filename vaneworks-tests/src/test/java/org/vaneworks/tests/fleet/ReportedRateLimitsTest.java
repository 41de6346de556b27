package org.vaneworks.tests.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.common.collect.ImmutableList;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.vaneworks.coordination.fleet.EndpointRateLimits;
import org.vaneworks.coordination.fleet.Fleet;
import org.vaneworks.coordination.fleet.FleetEndpoint;
import org.vaneworks.coordination.fleet.TrackedEndpoint;
import org.vaneworks.state.AdvertisedRateLimit;
import org.vaneworks.state.HostPort;
import org.vaneworks.state.LayerRange;
import org.vaneworks.state.StorePosition;
import org.vaneworks.telemetry.Counters;
import org.vaneworks.testlib.PausedExecutor;

/** Tests which rate limits are reported to peers in a fleet with more than fit into one report. */
final class ReportedRateLimitsTest {
  private static final int ENDPOINTS = 2400;

  private static final int MAX_ROUNDS = 20;

  private final Fleet fleet =
      Fleet.create(
          PausedExecutor.create(), Counters.in(new SimpleMeterRegistry()), Duration.ofSeconds(3));
  private final EndpointRateLimits limits = fleet.signals().rateLimits();

  @BeforeEach
  void announceLimits() {
    for (int i = 0; i < ENDPOINTS; i++) {
      HostPort address = new HostPort("10.0.0.1", 1000 + i);
      fleet.put(
          new FleetEndpoint(
              "e" + i,
              "m",
              address,
              "dc1",
              134,
              false,
              Optional.of(LayerRange.of(0, 80)),
              "large",
              StorePosition.START));
      TrackedEndpoint endpoint = fleet.find("m", address).orElseThrow();
      limits.recordFromEndpoint(endpoint, AdvertisedRateLimit.of(10));
    }
  }

  /** Returns the number of endpoints whose limits one peer is told, by one report in each round. */
  private int toldToOnePeer(Supplier<ImmutableList<TrackedEndpoint>> report) {
    Set<TrackedEndpoint> told = new HashSet<>();
    for (int i = 0; i < MAX_ROUNDS; i++) {
      limits.startReportRound();
      told.addAll(report.get());
    }
    return told.size();
  }

  // Guards against endpoints of which peers never learn that they announced a limit, because as
  // many others did so before.
  @Test
  void eachPeerIsToldTheLimitsOfAllEndpoints() {
    assertEquals(ENDPOINTS, toldToOnePeer(limits::recentOwnChanges));
    assertEquals(ENDPOINTS, toldToOnePeer(limits::recentChanges));
  }
}
