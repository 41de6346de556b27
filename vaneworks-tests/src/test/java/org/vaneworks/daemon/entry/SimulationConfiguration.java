package org.vaneworks.daemon.entry;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import org.vaneworks.state.entry.ApiKeys;
import org.vaneworks.state.entry.CallKind;
import org.vaneworks.state.entry.Caller;
import org.vaneworks.state.entry.EntryConfiguration;
import org.vaneworks.state.entry.EntryLimits;
import org.vaneworks.state.entry.EntryRoute;
import org.vaneworks.state.entry.ServiceProfile;
import org.vaneworks.state.entry.WeightedService;
import org.vaneworks.tests.placement.Models;

/** A configuration with three routes for each kind of call, which allow one to three attempts. */
final class SimulationConfiguration {
  private static final ImmutableList<CallKind> KINDS = ImmutableList.copyOf(CallKind.values());
  private static final int MAX_ATTEMPTS = 3;
  private static final Duration STREAM_TIMEOUT = Duration.ofSeconds(20);
  private static final Duration CALL_TIMEOUT = Duration.ofMillis(800);

  private SimulationConfiguration() {}

  /**
   * Returns a version of the configuration.
   *
   * @param idleMillis the idle timeout of connections
   */
  static EntryConfiguration of(int version, int idleMillis) {
    return EntryConfiguration.of(
        version,
        routes(MAX_ATTEMPTS),
        List.of(
            new ServiceProfile(SimulatedCluster.SERVICE, 1000, Optional.of(Models.eightyLayers())),
            new ServiceProfile(SimulatedCluster.REPLICATED, 100, Optional.empty())),
        ApiKeys.of(Map.of(SimulatedCluster.KEY, new Caller("scheme", OptionalInt.empty()))),
        new EntryLimits(16_384, 1 << 20, Duration.ofSeconds(3), Duration.ofMillis(idleMillis)));
  }

  /** Returns the routes of the configuration that allow at most a number of attempts. */
  static ImmutableList<EntryRoute> routes(int maxAttempts) {
    ImmutableList.Builder<EntryRoute> routes = ImmutableList.builder();
    for (CallKind kind : KINDS) {
      for (int attempts = 1; attempts <= maxAttempts; attempts++) {
        routes.add(route(kind, attempts));
      }
    }
    return routes.build();
  }

  /** Returns the route of a kind of call that allows a number of attempts. */
  static EntryRoute route(CallKind kind, int attempts) {
    String prefix = "/" + kind + "/" + attempts + "/";
    boolean streamed = kind.streamed();
    String service = streamed ? SimulatedCluster.SERVICE : SimulatedCluster.REPLICATED;
    return new EntryRoute(
        prefix,
        "host.example",
        prefix,
        kind,
        streamed ? STREAM_TIMEOUT : CALL_TIMEOUT,
        Duration.ofMillis(500),
        Duration.ofMillis(200),
        0,
        ImmutableList.of(new WeightedService(service, 1)),
        attempts,
        false);
  }
}
