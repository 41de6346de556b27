package org.vaneworks.coordination.pipeline;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;

/**
 * Bounds on one stream.
 *
 * @param maxReplacements how often parts of one stream's route are replaced
 * @param recoveryPatience how long a stream waits for any route after a loss
 * @param moveOver expected rest of a stream over which it is moved off a leaving engine
 * @param replayCharacters inputs kept for rebuilding one stream's hops
 */
public record PipelineLimits(
    int maxReplacements, Duration recoveryPatience, Duration moveOver, int replayCharacters) {
  /** Checks the bounds. */
  public PipelineLimits {
    checkArgument(maxReplacements >= 0, "maxReplacements: %s", maxReplacements);
    checkArgument(replayCharacters >= 0, "replayCharacters: %s", replayCharacters);
  }

  /** Returns the bounds that hold unless settings say otherwise. */
  public static PipelineLimits defaults() {
    return new PipelineLimits(16, Duration.ofSeconds(10), Duration.ofSeconds(2), 4 << 20);
  }
}
