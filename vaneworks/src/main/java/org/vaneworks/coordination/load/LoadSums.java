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
  private static final class Sum {
    private int requests;
    private long tokenLayers;
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

  int requests(int endpointKey) {
    Sum sum = sums.get(endpointKey);
    return sum == null ? 0 : sum.requests;
  }

  long tokenLayers(int endpointKey) {
    Sum sum = sums.get(endpointKey);
    return sum == null ? 0 : sum.tokenLayers;
  }
}
