package org.vaneworks.state.entry;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableMap;
import java.util.Optional;

/**
 * The model that a service's engines run, and its cost in memory and time, as configured by the
 * operator.
 *
 * @param layers number of layers
 * @param layerMegabytes memory of the weights of one layer, in megabytes
 * @param tokenBytes memory of one token of a request over all layers, in bytes
 * @param slots number of requests that an engine accepts as the first engine of their path
 * @param loadSeconds time to load all layers at the nominal speed, in seconds
 * @param stepMillis time of a step over all layers in milliseconds, before the accelerator's factor
 * @param perSequenceMillis milliseconds added to a step for each request that generates tokens
 * @param perThousandContextMillis milliseconds added to a step for each thousand tokens of context
 * @param readTokensPerSecond prompt tokens read per second, before the accelerator's factor
 * @param usualPrompt mean number of tokens of a prompt
 * @param usualAnswer mean number of tokens of an answer
 * @param accelerators accelerator profiles by name
 * @param link capacity of the links between data centres; empty if it is not configured
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
    ImmutableMap<String, AcceleratorProfile> accelerators,
    Optional<LinkProfile> link) {
  private static final double BYTES_PER_MEGABYTE = 1e6;

  /** Checks that the numbers used as divisors are positive. */
  public ModelProfile {
    checkArgument(layers > 0, "layers must be positive: %s", layers);
    checkArgument(layerMegabytes > 0, "layerMegabytes must be positive: %s", layerMegabytes);
    checkArgument(tokenBytes > 0, "tokenBytes must be positive: %s", tokenBytes);
    checkArgument(readTokensPerSecond > 0, "readTokensPerSecond: %s", readTokensPerSecond);
  }

  /** Returns the memory that one token of a request takes in one layer, in megabytes. */
  public double megabytesPerTokenLayer() {
    return tokenBytes / layers / BYTES_PER_MEGABYTE;
  }

  /** Returns the profile of the named accelerator, if it is configured. */
  public Optional<AcceleratorProfile> accelerator(String name) {
    return Optional.ofNullable(accelerators.get(name));
  }

  /** Returns the number of tokens of a request of mean size when it completes. */
  public int usualTokens() {
    return usualPrompt + usualAnswer;
  }

  /** Returns how many tokens of requests fit into the memory beside the held layers. */
  public double tokenCapacity(AcceleratorProfile accelerator, int heldLayers) {
    return tokenLayerCapacity(accelerator, heldLayers) / heldLayers;
  }

  /** Returns the memory beside the held layers as a number of tokens times layers. */
  public double tokenLayerCapacity(AcceleratorProfile accelerator, int heldLayers) {
    double free = accelerator.megabytes() - heldLayers * layerMegabytes;
    return Math.max(0, free / megabytesPerTokenLayer());
  }
}
