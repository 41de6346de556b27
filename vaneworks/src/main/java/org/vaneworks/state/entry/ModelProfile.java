package org.vaneworks.state.entry;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableMap;
import java.util.Optional;

/**
 * What a service's engines run, and what it costs them, as the operator describes it.
 *
 * @param layers number of layers
 * @param layerMegabytes memory of one layer's weights
 * @param tokenBytes memory of one token of a request over all layers
 * @param slots requests that an engine takes as the first of a path
 * @param loadSeconds time to load all layers, at the model's own pace
 * @param stepMillis time of a step over all layers, before the accelerator's factor
 * @param perSequenceMillis added to a step for each request that writes
 * @param perThousandContextMillis added to a step for each thousand tokens of context
 * @param readTokensPerSecond prompt tokens read a second, before the accelerator's factor
 * @param usualPrompt mean tokens of a prompt
 * @param usualAnswer mean tokens of an answer
 * @param accelerators the kinds of accelerator by name
 */
public record ModelProfile(
    int layers,
    double layerMegabytes,
    double tokenBytes,
    int slots,
    double loadSeconds,
    double stepMillis,
    double perSequenceMillis,
    double perThousandContextMillis,
    double readTokensPerSecond,
    int usualPrompt,
    int usualAnswer,
    ImmutableMap<String, AcceleratorProfile> accelerators) {
  private static final double BYTES_PER_MEGABYTE = 1e6;

  /** Checks the figures that are divided by. */
  public ModelProfile {
    checkArgument(layers > 0, "layers must be positive: %s", layers);
    checkArgument(layerMegabytes > 0, "layerMegabytes must be positive: %s", layerMegabytes);
    checkArgument(tokenBytes > 0, "tokenBytes must be positive: %s", tokenBytes);
    checkArgument(readTokensPerSecond > 0, "readTokensPerSecond: %s", readTokensPerSecond);
  }

  /** Returns the memory of one token of a request in one layer, in megabytes. */
  public double megabytesPerTokenLayer() {
    return tokenBytes / layers / BYTES_PER_MEGABYTE;
  }

  /** Returns the accelerator of that name, if the operator describes it. */
  public Optional<AcceleratorProfile> accelerator(String name) {
    return Optional.ofNullable(accelerators.get(name));
  }

  /** Returns the tokens of a request of the usual size at its end. */
  public int usualTokens() {
    return usualPrompt + usualAnswer;
  }

  /** Returns how many tokens of requests fit beside the held layers, in each of them. */
  public double tokenCapacity(AcceleratorProfile accelerator, int heldLayers) {
    return tokenLayerCapacity(accelerator, heldLayers) / heldLayers;
  }

  /** Returns how many tokens times layers fit beside the held layers. */
  public double tokenLayerCapacity(AcceleratorProfile accelerator, int heldLayers) {
    double free = accelerator.megabytes() - heldLayers * layerMegabytes;
    return Math.max(0, free / megabytesPerTokenLayer());
  }
}
