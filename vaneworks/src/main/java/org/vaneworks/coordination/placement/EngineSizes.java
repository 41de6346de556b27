package org.vaneworks.coordination.placement;

import static com.google.common.base.Preconditions.checkNotNull;

import org.vaneworks.state.entry.AcceleratorProfile;
import org.vaneworks.state.entry.ModelProfile;

/** How many layers an engine is to hold, so that its memory has room for requests too. */
final class EngineSizes {
  /** Most of the memory that may go to layers; the rest holds requests. */
  private static final double MAX_FILL = 0.9;

  private final ModelProfile model;

  EngineSizes(ModelProfile model) {
    this.model = checkNotNull(model);
  }

  /** Returns how many layers an engine holds if it is to have room for that many tokens in each. */
  double layersWithRoom(AcceleratorProfile accelerator, double tokens) {
    return accelerator.megabytes()
        / (model.layerMegabytes() + tokens * model.megabytesPerTokenLayer());
  }

  /** Returns how many layers an engine is to hold: with that room, and never more than fit. */
  int layersFor(AcceleratorProfile accelerator, double tokens) {
    int layers = (int) Math.round(layersWithRoom(accelerator, tokens));
    return Math.max(1, Math.min(Math.min(layers, most(accelerator)), model.layers()));
  }

  /** Returns the most layers that an engine may be ordered to hold. */
  int most(AcceleratorProfile accelerator) {
    return (int) Math.floor(accelerator.megabytes() * MAX_FILL / model.layerMegabytes());
  }
}
