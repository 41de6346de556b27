package org.vaneworks.coordination.fleet;

import com.google.common.collect.ImmutableList;
import java.util.HashMap;
import java.util.Map;

/**
 * The load on the links between data centres: what the requests of all nodes that cross a link
 * still have to pass over it.
 *
 * <p>All requests between two data centres share one link, and its queue cannot be observed. A link
 * that gets more than it passes delays every stream that crosses it, until their callers give up
 * and try again. Confined to the node's event loop.
 */
public final class DataCentreLinks {
  /** Below this, a sum of reservations that were all released differs from zero by rounding. */
  private static final double ROUNDING_MEGABITS = 1e-6;

  private static final class Load {
    private double own;
    private double peers;
    private double recent;
  }

  private final Map<Integer, Load> loads = new HashMap<>();
  private double extrapolationFactor = 1;
  private double similarPeers;

  DataCentreLinks() {}

  /** Returns the short key of the link between two data centres, the same in both directions. */
  public static int keyOf(String dataCentre, String other) {
    boolean ordered = dataCentre.compareTo(other) <= 0;
    return (ordered ? dataCentre + '|' + other : other + '|' + dataCentre).hashCode();
  }

  /** Returns the megabits that the requests of all nodes reserve on a link, as far as known. */
  public double reservedMegabits(String dataCentre, String other) {
    Load load = loads.get(keyOf(dataCentre, other));
    return load == null
        ? 0
        : (load.own + load.peers) * extrapolationFactor + load.recent * similarPeers;
  }

  /** Reserves a part of a link; every call must be matched by calls to {@link #release}. */
  public void reserve(String dataCentre, String other, double megabits) {
    Load load = loads.computeIfAbsent(keyOf(dataCentre, other), key -> new Load());
    load.own += megabits;
    load.recent += megabits;
  }

  /** Releases what was reserved on a link, or a part of it. */
  public void release(String dataCentre, String other, double megabits) {
    Load load = loads.get(keyOf(dataCentre, other));
    load.own = load.own - megabits < ROUNDING_MEGABITS ? 0 : load.own - megabits;
  }

  /** Returns the load of this node's own requests. */
  public ImmutableList<LinkLoad> ownLoads() {
    return loads.entrySet().stream()
        .filter(entry -> entry.getValue().own > 0)
        .map(entry -> new LinkLoad(entry.getKey(), entry.getValue().own))
        .collect(ImmutableList.toImmutableList());
  }

  /**
   * Sets the load of other nodes.
   *
   * @param megabits what the nodes that reported their load reserve, by the link's key
   * @param factor see {@link TrackedEndpoint#setPeerLoad}
   * @param peers see {@link TrackedEndpoint#setSimilarPeers}
   * @param unreportedFraction see {@link TrackedEndpoint#setSimilarPeers}
   */
  public void setPeerLoads(
      Map<Integer, Double> megabits, double factor, double peers, double unreportedFraction) {
    extrapolationFactor = factor;
    similarPeers = peers;
    megabits.keySet().forEach(key -> loads.computeIfAbsent(key, unused -> new Load()));
    loads.forEach(
        (key, load) -> {
          load.peers = megabits.getOrDefault(key, 0.0);
          load.recent *= unreportedFraction;
        });
  }
}
