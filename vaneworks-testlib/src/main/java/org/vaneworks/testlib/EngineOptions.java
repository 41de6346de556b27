package org.vaneworks.testlib;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;
import org.vaneworks.state.Endpoint;

/**
 * The options of a simulated engine.
 *
 * @param endpoint the endpoint that the engine reports in its status
 * @param modelLayers number of layers of the complete model
 * @param stepMillis base duration of a batch, in milliseconds
 * @param perSessionMillis additional duration for each call in the batch, in milliseconds
 * @param perPositionMillis additional duration for each prompt position that is not cached, in
 *     milliseconds
 * @param maxBatchSize maximum number of calls in a batch
 * @param maxSessions maximum number of open sessions
 * @param reportInterval interval at which the load figures of the status are refreshed
 * @param prefixCacheBlocks capacity of the prefix cache, in prompt blocks
 */
public record EngineOptions(
    Endpoint endpoint,
    int modelLayers,
    double stepMillis,
    double perSessionMillis,
    double perPositionMillis,
    int maxBatchSize,
    int maxSessions,
    Duration reportInterval,
    int prefixCacheBlocks) {
  /** Validates the components. */
  public EngineOptions {
    checkArgument(endpoint.isEngine(), "endpoint is not an engine: %s", endpoint);
    checkArgument(
        endpoint.layers().get().to() <= modelLayers,
        "layers exceed the model: %s",
        endpoint.layers());
    checkArgument(stepMillis > 0, "stepMillis must be positive: %s", stepMillis);
  }

  /** Returns options with default sizes. */
  public static EngineOptions of(Endpoint endpoint, int modelLayers, double stepMillis) {
    return new EngineOptions(
        endpoint,
        modelLayers,
        stepMillis,
        stepMillis * 0.04,
        stepMillis * 0.01,
        64,
        512,
        Duration.ofSeconds(1),
        256);
  }
}
