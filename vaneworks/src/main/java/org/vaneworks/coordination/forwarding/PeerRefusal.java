package org.vaneworks.coordination.forwarding;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import java.time.Duration;
import java.util.Optional;
import org.vaneworks.state.Reason;
import org.vaneworks.state.Verdict;

/**
 * A peer's own refusal of a request that was forwarded to it, as opposed to an endpoint's response.
 *
 * @param arrived whether the request may have arrived at an endpoint, even if it did not run
 * @param retryAfter how long the peer asks the caller to wait, if it does
 */
public record PeerRefusal(
    Reason reason, Verdict verdict, boolean arrived, Optional<Duration> retryAfter) {
  /** Reasons that concern the endpoints, so that another peer would refuse as well. */
  private static final ImmutableSet<Reason> FLEET_WIDE =
      Sets.immutableEnumSet(
          Reason.NO_ENDPOINT,
          Reason.ENDPOINT_OVERLOADED,
          Reason.NOT_STARTED_IN_TIME,
          Reason.QUARANTINED);

  /** Reasons that concern the peer, so that it would refuse other requests as well. */
  private static final ImmutableSet<Reason> OF_PEER =
      Sets.immutableEnumSet(
          Reason.NODE_ISOLATED, Reason.STOPPING, Reason.NOT_READY, Reason.CONFIGURATION_STALE);

  /** Checks that no component is null. */
  public PeerRefusal {
    checkNotNull(reason);
    checkNotNull(verdict);
    checkNotNull(retryAfter);
  }

  /** Returns whether the peer can't forward any request now. */
  boolean concernsPeer() {
    return OF_PEER.contains(reason);
  }

  /** Returns whether the peer did not run the request, and another one may. */
  boolean isDeclined() {
    return verdict == Verdict.NOT_RUN && !FLEET_WIDE.contains(reason);
  }
}
