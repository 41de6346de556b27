package org.vaneworks.state.entry;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.time.Duration;

/**
 * Sends the requests of one host whose path begins with a prefix to services.
 *
 * @param name for logs
 * @param host the host that requests name, without a port
 * @param pathPrefix begins the paths that it takes; starts and ends with a slash
 * @param kind how its requests may be run
 * @param timeout the longest that a request is held
 * @param objective the time to a whole answer, or to the first event of a stream, that is aimed at
 * @param pauseObjective the longest pause between events of a stream that is aimed at
 * @param priority 0 is the most urgent
 * @param services one or more services, by weight
 * @param attempts the greatest number of endpoints on which one request may run
 * @param open whether a request needs no key
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
  /** Checks the parts that decisions rely on. */
  public EntryRoute {
    checkNotNull(kind);
    checkArgument(!services.isEmpty(), "route %s must name a service", name);
    checkArgument(attempts >= 1, "attempts of route %s must be 1 or more: %s", name, attempts);
    checkArgument(!timeout.isNegative(), "timeout of route %s is negative: %s", name, timeout);
  }

  /**
   * Returns the service that takes a request.
   *
   * @param draw a number in [0, 1)
   */
  public String selectService(double draw) {
    double total = services.stream().mapToDouble(WeightedService::weight).sum();
    double left = draw * total;
    for (WeightedService candidate : services) {
      left -= candidate.weight();
      if (left < 0) {
        return candidate.service();
      }
    }
    return services.get(services.size() - 1).service();
  }
}
