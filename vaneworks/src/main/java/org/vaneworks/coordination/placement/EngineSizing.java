package org.vaneworks.coordination.placement;

import static com.google.common.base.Preconditions.checkNotNull;

import org.vaneworks.state.entry.AcceleratorProfile;
import org.vaneworks.state.entry.ModelProfile;

/**
 * Computes how many layers an engine should hold, so that its memory also has capacity for
 * requests.
 */
final class EngineSizing {
  /** Maximum share of the memory that may hold layer weights; the rest holds requests. */
  private static final double MAX_WEIGHT_SHARE = 0.9;

  private final ModelProfile model;

  EngineSizing(ModelProfile model) {
    this.model = checkNotNull(model);
  }

  /** Returns how many layers an engine can hold with memory for that many tokens in each layer. */
  double layersWithCapacity(AcceleratorProfile accelerator, double tokens) {
    return accelerator.megabytes()
        / (model.layerMegabytes() + tokens * model.megabytesPerTokenLayer());
  }

  /**
   * Returns how many layers an engine should hold to have memory for that many tokens in each,
   * limited to what fits.
   */
  int layersFor(AcceleratorProfile accelerator, double tokens) {
    int layers = (int) Math.round(layersWithCapacity(accelerator, tokens));
    return Math.max(1, Math.min(Math.min(layers, maxLayers(accelerator)), model.layers()));
  }

  /** Returns the maximum number of layers that an engine may be ordered to hold. */
  int maxLayers(AcceleratorProfile accelerator) {
    return (int) Math.floor(accelerator.megabytes() * MAX_WEIGHT_SHARE / model.layerMegabytes());
  }
}
