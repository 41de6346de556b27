package org.vaneworks.state.entry;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.time.Duration;

/**
 * Routes the requests for one host whose path starts with a prefix to services.
 *
 * @param name name of the route, for logs
 * @param host host name of the requests, without a port
 * @param pathPrefix prefix of the paths that match; starts and ends with a slash
 * @param kind how the requests may run
 * @param timeout maximum time from a request to the end of its answer
 * @param objective target time to a complete answer, or to the first event of a stream
 * @param pauseObjective target maximum time between two events of a stream
 * @param priority 0 is the most urgent
 * @param services one or more services, by weight; those of weight 0 receive no requests
 * @param attempts maximum number of endpoints that one request may run on
 * @param open whether requests require no key
 */
public record EntryRoute(
    String name,
    String host,
    String pathPrefix,
    CallKind kind,
    Duration timeout,
    Duration objective,
    Duration pauseObjective,
    int priority,
    ImmutableList<WeightedService> services,
    int attempts,
    boolean open) {
  /** Checks kind, services, attempts and timeout; drops services that receive no share. */
  public EntryRoute {
    checkNotNull(kind);
    services =
        services.stream()
            .filter(service -> service.weight() > 0)
            .collect(ImmutableList.toImmutableList());
    checkArgument(!services.isEmpty(), "route %s must send its requests to a service", name);
    checkArgument(attempts >= 1, "attempts of route %s must be 1 or more: %s", name, attempts);
    checkArgument(!timeout.isNegative(), "timeout of route %s is negative: %s", name, timeout);
  }

  /** Returns whether requests of the route may go to a service. */
  public boolean hasService(String name) {
    return services.stream().anyMatch(service -> service.service().equals(name));
  }

  /**
   * Selects the service for a request, in proportion to the weights.
   *
   * @param draw a random number in [0, 1)
   */
  public String selectService(double draw) {
    double total = services.stream().mapToDouble(WeightedService::weight).sum();
    double remaining = draw * total;
    for (WeightedService candidate : services) {
      remaining -= candidate.weight();
      if (remaining < 0) {
        return candidate.service();
      }
    }
    return services.get(services.size() - 1).service();
  }
}
