package org.vaneworks.coordination.placement;

import java.util.Optional;
import org.vaneworks.state.LayerRange;
import org.vaneworks.state.entry.AcceleratorProfile;

/**
 * An engine as placement sees it.
 *
 * @param id the engine's id
 * @param dataCentre where its box stands
 * @param accelerator its kind
 * @param layers what it holds or was ordered to hold
 * @param listed what it holds, as it is listed; differs from {@code layers} until an order is done
 * @param counts whether its layers may be relied on: it is neither leaving nor believed dead
 */
public record Holding(
    String id,
    String dataCentre,
    AcceleratorProfile accelerator,
    Optional<LayerRange> layers,
    Optional<LayerRange> listed,
    boolean counts) {
  /** Returns an engine without an order. */
  public Holding(
      String id,
      String dataCentre,
      AcceleratorProfile accelerator,
      Optional<LayerRange> layers,
      boolean counts) {
    this(id, dataCentre, accelerator, layers, layers, counts);
  }

  /** Returns what it serves until it holds a range: what it would give up for it serves no more. */
  Optional<LayerRange> servedOf(LayerRange next) {
    return listed.flatMap(next::intersection);
  }
}
