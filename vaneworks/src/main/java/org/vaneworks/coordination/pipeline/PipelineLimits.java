package org.vaneworks.coordination.pipeline;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;

/**
 * Limits that apply to each stream.
 *
 * @param maxReplacements maximum number of times that parts of a stream's route are replaced
 * @param recoveryTimeout how long a stream waits for any route after it lost an engine
 * @param migrationThreshold expected remaining duration from which on a stream is migrated off an
 *     engine that is leaving; shorter streams finish there
 * @param replayCharacters maximum number of characters of step inputs kept per stream for
 *     rebuilding its hops
 */
public record PipelineLimits(
    int maxReplacements,
    Duration recoveryTimeout,
    Duration migrationThreshold,
    int replayCharacters) {
  /** Checks the limits. */
  public PipelineLimits {
    checkArgument(
        maxReplacements >= 0, "maxReplacements must not be negative: %s", maxReplacements);
    checkArgument(
        replayCharacters >= 0, "replayCharacters must not be negative: %s", replayCharacters);
  }

  /** Returns the default limits. */
  public static PipelineLimits defaults() {
    return new PipelineLimits(16, Duration.ofSeconds(10), Duration.ofSeconds(2), 4 << 20);
  }
}
