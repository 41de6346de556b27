package org.vaneworks.testlib;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;
import org.vaneworks.state.Endpoint;

/**
 * What an engine stand-in is like.
 *
 * @param endpoint how it describes itself
 * @param modelLayers how many layers the whole model has
 * @param stepMillis time of a step beside no other session
 * @param perSessionMillis what each further session in the batch adds
 * @param perPositionMillis what each prompt position that is not cached adds
 * @param maxBatch most calls in one batch
 * @param maxSessions most sessions held
 * @param reportEvery how old a load report may get
 * @param prefixBlocks how many prompt blocks the prefix cache holds
 */
public record EngineOptions(
    Endpoint endpoint,
    int modelLayers,
    double stepMillis,
    double perSessionMillis,
    double perPositionMillis,
    int maxBatch,
    int maxSessions,
    Duration reportEvery,
    int prefixBlocks) {
  /** Checks the bounds. */
  public EngineOptions {
    checkArgument(endpoint.isEngine(), "an engine holds layers: %s", endpoint);
    checkArgument(endpoint.layers().get().to() <= modelLayers, "layers: %s", endpoint.layers());
    checkArgument(stepMillis > 0, "stepMillis must be positive: %s", stepMillis);
  }

  /** Returns an engine with common sizes. */
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
