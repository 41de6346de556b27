package org.vaneworks.state;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;

/**
 * Description of an endpoint, as the endpoint reports it.
 *
 * @param id box and incarnation
 * @param address the address that it listens on
 * @param dataCentre the data centre of its box
 * @param serves name of the model or of the plain service
 * @param layers the layers that it holds; empty for a plain service
 * @param accelerator kind of accelerator, for example {@code l40}
 * @param fenced whether it checks the epoch of the sender of an order
 */
public record Endpoint(
    EndpointId id,
    HostPort address,
    String dataCentre,
    String serves,
    Optional<LayerRange> layers,
    String accelerator,
    boolean fenced) {
  /** Checks that the required components are given. */
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
