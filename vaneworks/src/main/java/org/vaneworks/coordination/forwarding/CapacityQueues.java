package org.vaneworks.coordination.forwarding;

import static com.google.common.base.Preconditions.checkNotNull;

import io.servicetalk.concurrent.Executor;
import java.util.HashMap;
import java.util.Map;

/** The capacity queue of each service. Confined to the node's event loop. */
final class CapacityQueues {
  private final Executor clock;
  private final Map<String, CapacityQueue> byService = new HashMap<>();

  CapacityQueues(Executor clock) {
    this.clock = checkNotNull(clock);
  }

  /** Returns the queue of a service. */
  CapacityQueue of(String service) {
    return byService.computeIfAbsent(service, name -> new CapacityQueue(clock));
  }
}
