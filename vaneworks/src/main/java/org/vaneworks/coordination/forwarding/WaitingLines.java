package org.vaneworks.coordination.forwarding;

import static com.google.common.base.Preconditions.checkNotNull;

import io.servicetalk.concurrent.Executor;
import java.util.HashMap;
import java.util.Map;

/** The waiting line of each service. Confined to the node's event loop. */
final class WaitingLines {
  private final Executor clock;
  private final Map<String, WaitingLine> byService = new HashMap<>();

  WaitingLines(Executor clock) {
    this.clock = checkNotNull(clock);
  }

  /** Returns the line of a service. */
  WaitingLine of(String service) {
    return byService.computeIfAbsent(service, name -> new WaitingLine(clock));
  }
}
