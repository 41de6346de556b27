package org.vaneworks.coordination.forwarding;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import java.util.Optional;
import java.util.Set;
import org.vaneworks.coordination.fleet.TrackedEndpoint;

/**
 * The endpoints to which a request may be sent. On an engine path, this concerns the first engine;
 * engines that are excluded are not used at all.
 *
 * @param excluded the endpoints that are not selected
 * @param only the IDs of the endpoints of which one is selected, also if it has restarted; empty if
 *     there is no such restriction
 * @param lastTried the endpoint where the latest attempt ended, which is selected if no other is
 *     usable
 */
record EndpointFilter(
    ImmutableSet<TrackedEndpoint> excluded,
    Optional<ImmutableSet<String>> only,
    Optional<TrackedEndpoint> lastTried) {
  /** Checks that all parts are present. */
  EndpointFilter {
    checkNotNull(excluded);
    checkNotNull(only);
    checkNotNull(lastTried);
  }

  /** Returns a copy that excludes further endpoints. */
  EndpointFilter excluding(Set<TrackedEndpoint> further) {
    return new EndpointFilter(ImmutableSet.copyOf(Sets.union(excluded, further)), only, lastTried);
  }

  /** Returns a copy that excludes the endpoint where the latest attempt ended. */
  EndpointFilter excludingLastTried() {
    return excluding(lastTried.map(ImmutableSet::of).orElseGet(ImmutableSet::of));
  }

  /** Returns whether only certain endpoints may be selected. */
  boolean isRestricted() {
    return only.isPresent();
  }

  /** Returns whether the request may be sent to an endpoint. */
  boolean allows(TrackedEndpoint endpoint) {
    boolean eligible = only.isEmpty() || only.get().contains(endpoint.endpoint().id());
    return eligible && !excluded.contains(endpoint);
  }
}
