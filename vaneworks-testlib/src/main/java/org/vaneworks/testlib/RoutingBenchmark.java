package org.vaneworks.testlib;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.time.Duration;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.options.OptionsBuilder;
import org.vaneworks.coordination.endpoints.EndpointLimits;
import org.vaneworks.coordination.endpoints.EndpointTable;
import org.vaneworks.coordination.routing.RoutePlanner;
import org.vaneworks.coordination.routing.RoutePolicies;
import org.vaneworks.coordination.routing.RouteQuery;
import org.vaneworks.state.Endpoint;
import org.vaneworks.state.EndpointId;
import org.vaneworks.state.HostPort;
import org.vaneworks.state.LayerRange;
import org.vaneworks.telemetry.Counters;

/** Measures the time of one routing decision by the number of engines of the model. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Fork(1)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
public class RoutingBenchmark {
  private static final int NODES = 8;

  /** Number of engines of the model, in three stages. */
  @Param({"30", "100", "600", "2400"})
  private int engines;

  private RoutePlanner planner;
  private RouteQuery query;

  /** Runs the benchmark. */
  public static void main(String[] args) throws Exception {
    new Runner(new OptionsBuilder().include(RoutingBenchmark.class.getName()).build()).run();
  }

  /** Creates the endpoint table and the planner. */
  @Setup
  public void setUp() {
    PausedExecutor clock = PausedExecutor.create();
    EndpointTable table =
        EndpointTable.create(
            clock, EndpointLimits.defaults(), Counters.in(new SimpleMeterRegistry()), () -> NODES);
    for (int i = 0; i < engines; i++) {
      int from = i % 3 * 8;
      table.add(
          new Endpoint(
              new EndpointId("e" + i, "1"),
              new HostPort("127.0.0.1", 10_000 + i),
              "dc1",
              "model",
              Optional.of(LayerRange.of(from, from + 8)),
              "a",
              true));
    }
    planner = RoutePlanner.create(table, RoutePolicies.predictedTime(new Random(1)));
    query =
        new RouteQuery(
            "model",
            LayerRange.of(0, 24),
            200,
            60,
            ImmutableList.of(1L, 2L, 3L),
            Duration.ofMillis(520),
            Duration.ofMillis(74),
            ImmutableSet.of());
  }

  /** Plans one route. */
  @Benchmark
  public Object plan() {
    return planner.plan(query);
  }
}
