package org.vaneworks.state;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;

/**
 * An endpoint as it describes itself.
 *
 * @param id box and incarnation
 * @param address where it listens
 * @param dataCentre where its box stands
 * @param serves the model's or the plain service's name
 * @param layers the layers it holds; empty for a plain service
 * @param accelerator kind of accelerator, for example {@code l40}
 * @param fenced whether it checks the epoch of who gives it an order
 */
public record Endpoint(
    EndpointId id,
    HostPort address,
    String dataCentre,
    String serves,
    Optional<LayerRange> layers,
    String accelerator,
    boolean fenced) {
  /** Checks that every part is given. */
  public Endpoint {
    checkNotNull(id);
    checkNotNull(address);
    checkNotNull(layers);
    checkArgument(!serves.isEmpty(), "endpoint %s must say what it serves", id);
  }

  /** Returns whether this is a model engine rather than a plain service. */
  public boolean isEngine() {
    return layers.isPresent();
  }
}
