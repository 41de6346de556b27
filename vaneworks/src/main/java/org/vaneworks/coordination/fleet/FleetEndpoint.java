package org.vaneworks.coordination.fleet;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import org.vaneworks.state.HostPort;
import org.vaneworks.state.LayerRange;
import org.vaneworks.state.StorePosition;

/**
 * One incarnation of an endpoint, as described by its entry in the endpoint list.
 *
 * @param id name in the list; a restarted endpoint has a new ID, or the same ID with another
 *     incarnation
 * @param service the service that the endpoint belongs to
 * @param address where the endpoint listens
 * @param dataCentre the data centre of the endpoint's box
 * @param slots number of requests that the endpoint processes concurrently
 * @param leaving whether the endpoint announced its shutdown
 * @param layers the layers that the endpoint holds, if any
 * @param accelerator the kind of accelerator; empty for a plain service
 * @param listedAt store position at which the entry was created; a higher position for the same
 *     endpoint means that the entry lapsed in between
 * @param incarnation the incarnation of the endpoint's process
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
    StorePosition listedAt,
    Incarnation incarnation) {
  /** Checks that the components are not null. */
  public FleetEndpoint {
    checkNotNull(id);
    checkNotNull(address);
    checkNotNull(layers);
    checkNotNull(listedAt);
    checkNotNull(incarnation);
  }

  /**
   * Returns an ID of this incarnation that is the same on all nodes. An endpoint that does not
   * report its start time creates a new entry after a restart, so the entry's position is used.
   */
  public String incarnationId() {
    return incarnation.isKnown()
        ? id + "@" + incarnation.startedAt().getAsLong()
        : id + "#" + listedAt.toLong();
  }

  /** Creates an endpoint that does not report its start time. */
  public FleetEndpoint(
      String id,
      String service,
      HostPort address,
      String dataCentre,
      int slots,
      boolean leaving,
      Optional<LayerRange> layers,
      String accelerator,
      StorePosition listedAt) {
    this(
        id,
        service,
        address,
        dataCentre,
        slots,
        leaving,
        layers,
        accelerator,
        listedAt,
        Incarnation.UNKNOWN);
  }

  /**
   * Returns a description of a later incarnation that has not listed itself yet. It holds no
   * layers.
   */
  FleetEndpoint withIncarnation(Incarnation later) {
    return new FleetEndpoint(
        id,
        service,
        address,
        dataCentre,
        slots,
        false,
        Optional.empty(),
        accelerator,
        listedAt,
        later);
  }

  /** Returns a copy that announces the endpoint's shutdown. */
  FleetEndpoint asLeaving() {
    return new FleetEndpoint(
        id, service, address, dataCentre, slots, true, layers, accelerator, listedAt, incarnation);
  }

  /**
   * Returns whether both entries can describe the same incarnation. The accelerator is ignored
   * because some engines report it only after their model is loaded.
   */
  boolean mayBeSameIncarnation(FleetEndpoint other) {
    return incarnation.equals(other.incarnation)
        && service.equals(other.service)
        && address.equals(other.address)
        && dataCentre.equals(other.dataCentre);
  }
}
