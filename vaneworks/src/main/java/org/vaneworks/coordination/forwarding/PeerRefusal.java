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
 * @param retryAfter how long the peer asks the caller to wait, if it does
 */
public record PeerRefusal(Reason reason, Verdict verdict, Optional<Duration> retryAfter) {
  /** Reasons that concern the endpoints, so that another peer would refuse as well. */
  private static final ImmutableSet<Reason> FLEET_WIDE =
      Sets.immutableEnumSet(
          Reason.NO_ENDPOINT,
          Reason.ENDPOINT_OVERLOADED,
          Reason.NOT_STARTED_IN_TIME,
          Reason.QUARANTINED);

  /** Checks that no component is null. */
  public PeerRefusal {
    checkNotNull(reason);
    checkNotNull(verdict);
    checkNotNull(retryAfter);
  }

  /** Returns whether the peer did not run the request, and another one may. */
  boolean isDeclined() {
    return verdict == Verdict.NOT_RUN && !FLEET_WIDE.contains(reason);
  }
}
