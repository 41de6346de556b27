package org.vaneworks.coordination.load;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The loads of endpoints, summed over reports.
 *
 * <p>Updated incrementally with each report: summing all reports again, many times a second, would
 * cost time proportional to nodes times endpoints. Confined to the node's event loop.
 */
final class LoadSums {
  /** The total load of one endpoint. */
  static final class Sum {
    private static final Sum ZERO = new Sum();

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

  /** Returns the current sum of an endpoint. The returned object may change with later reports. */
  Sum of(int endpointKey) {
    return sums.getOrDefault(endpointKey, Sum.ZERO);
  }
}
