package org.vaneworks.coordination.load;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Loads of endpoints, summed over reports.
 *
 * <p>Kept up to date by each report as it comes: adding all reports up anew, many times a second,
 * grows with nodes times endpoints. Confined to the node's event loop.
 */
final class LoadSums {
  /** The load of one endpoint. */
  static final class Sum {
    private static final Sum NOTHING = new Sum();

    private int requests;
    private long tokenLayers;

    int requests() {
      return requests;
    }

    long tokenLayers() {
      return tokenLayers;
    }
  }

  private final Map<Integer, Sum> sums = new HashMap<>();

  void add(List<EndpointLoad> loads) {
    for (EndpointLoad load : loads) {
      Sum sum = sums.computeIfAbsent(load.endpointKey(), key -> new Sum());
      sum.requests += load.requests();
      sum.tokenLayers += load.tokenLayers();
    }
  }

  void subtract(List<EndpointLoad> loads) {
    for (EndpointLoad load : loads) {
      Sum sum = sums.get(load.endpointKey());
      sum.requests -= load.requests();
      sum.tokenLayers -= load.tokenLayers();
      if (sum.requests == 0 && sum.tokenLayers == 0) {
        sums.remove(load.endpointKey());
      }
    }
  }

  /** Returns the present sum of an endpoint; it changes with later reports. */
  Sum of(int endpointKey) {
    return sums.getOrDefault(endpointKey, Sum.NOTHING);
  }
}
