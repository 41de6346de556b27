package org.vaneworks.coordination.fleet;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import org.vaneworks.state.HostPort;
import org.vaneworks.state.LayerRange;
import org.vaneworks.state.StorePosition;

/**
 * One run of an endpoint's process, as it lists itself.
 *
 * @param id its name in the list; another one at each start, or the same with another incarnation
 * @param service the service that it belongs to
 * @param address where it listens
 * @param dataCentre where its box stands
 * @param slots requests that it works on at a time
 * @param leaving whether it announced that it will end
 * @param layers the layers that it holds, if any
 * @param accelerator its kind of accelerator; empty for a plain service
 * @param listedAt when it was listed, by the store; a higher one later means that the entry lapsed
 *     in between
 * @param incarnation which run of the process it is
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
  /** Checks that every part is given. */
  public FleetEndpoint {
    checkNotNull(id);
    checkNotNull(address);
    checkNotNull(layers);
    checkNotNull(listedAt);
    checkNotNull(incarnation);
  }

  /**
   * Returns a name of this run of the process, the same at all nodes. An endpoint that does not
   * tell its start lists itself anew after one.
   */
  public String run() {
    return incarnation.isTold()
        ? id + "@" + incarnation.startedAt().getAsLong()
        : id + "#" + listedAt.toLong();
  }

  /** Returns an endpoint that does not tell when it started. */
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
        Incarnation.UNTOLD);
  }

  /** Returns what is known of a later run before it has listed itself: it holds no layers. */
  FleetEndpoint startedAgain(Incarnation later) {
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

  /** Returns this entry as one of a run that has announced its end. */
  FleetEndpoint thatLeaves() {
    return new FleetEndpoint(
        id, service, address, dataCentre, slots, true, layers, accelerator, listedAt, incarnation);
  }

  /**
   * Returns whether both entries can be those of one run. Its accelerator is left out: some engines
   * name it with their model only.
   */
  boolean canBeSameRun(FleetEndpoint other) {
    return incarnation.equals(other.incarnation)
        && service.equals(other.service)
        && address.equals(other.address)
        && dataCentre.equals(other.dataCentre);
  }
}
