package org.vaneworks.coordination.placement;

import java.util.Optional;
import org.vaneworks.state.LayerRange;
import org.vaneworks.state.entry.AcceleratorProfile;

/**
 * The state of an engine that placement is planned from.
 *
 * @param id the engine's id
 * @param dataCentre the data centre of its box
 * @param accelerator the profile of its accelerator
 * @param targetLayers the layers that it holds, or was ordered to hold
 * @param listedLayers the layers that it holds according to the list of endpoints; differs from
 *     {@code targetLayers} until an order is completed
 * @param available whether its layers may be relied on: it is neither leaving nor suspected
 */
public record EngineSnapshot(
    String id,
    String dataCentre,
    AcceleratorProfile accelerator,
    Optional<LayerRange> targetLayers,
    Optional<LayerRange> listedLayers,
    boolean available) {
  /** Creates a snapshot of an engine without a pending order. */
  public EngineSnapshot(
      String id,
      String dataCentre,
      AcceleratorProfile accelerator,
      Optional<LayerRange> layers,
      boolean available) {
    this(id, dataCentre, accelerator, layers, layers, available);
  }

  /**
   * Returns the layers that the engine continues to serve while it changes to the range {@code
   * next}; it stops serving all others.
   */
  Optional<LayerRange> retainedLayers(LayerRange next) {
    return listedLayers.flatMap(next::intersection);
  }
}
