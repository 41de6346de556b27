package org.vaneworks.coordination.fleet;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import org.vaneworks.state.HostPort;
import org.vaneworks.state.LayerRange;

/**
 * One run of an endpoint's process, as it lists itself.
 *
 * @param id changes at each start of the process
 * @param service the service that it belongs to
 * @param address where it listens
 * @param dataCentre where its box stands
 * @param slots requests that it works on at a time
 * @param leaving whether it announced that it will end
 * @param layers the layers that it holds, if any
 * @param accelerator its kind of accelerator; empty for a plain service
 * @param listedAt the store's counter when it was listed; a higher one later means that the entry
 *     lapsed in between
 */
public record FleetEndpoint(
    String id,
    String service,
    HostPort address,
    String dataCentre,
    int slots,
    boolean leaving,
    Optional<LayerRange> layers,
    String accelerator,
    long listedAt) {
  /** Checks that every part is given. */
  public FleetEndpoint {
    checkNotNull(id);
    checkNotNull(address);
    checkNotNull(layers);
  }
}
