package org.vaneworks.tests.forwarding;

import java.util.Optional;
import org.vaneworks.coordination.forwarding.PeerRefusal;
import org.vaneworks.coordination.forwarding.ResponseHead;
import org.vaneworks.state.AdvertisedRateLimit;
import org.vaneworks.state.EndpointSignal;
import org.vaneworks.state.HostPort;
import org.vaneworks.state.NotRunProof;
import org.vaneworks.state.Refusal;
import org.vaneworks.state.RequestedBackoff;
import org.vaneworks.state.Verdict;

/** A response head with values set by the test. */
public record FakeResponseHead(
    int status,
    boolean notRun,
    boolean matches,
    Optional<HostPort> obstacle,
    EndpointSignal signal,
    Optional<PeerRefusal> peerRefusal)
    implements ResponseHead {
  /** Creates a head of an endpoint. */
  public FakeResponseHead(
      int status,
      boolean notRun,
      boolean matches,
      Optional<HostPort> obstacle,
      EndpointSignal signal) {
    this(status, notRun, matches, obstacle, signal, Optional.empty());
  }

  /** Returns the head of a peer's refusal. */
  public static FakeResponseHead refusedByPeer(Refusal refusal) {
    return new FakeResponseHead(
        refusal.reason().status(),
        refusal.verdict() == Verdict.NOT_RUN,
        false,
        Optional.empty(),
        EndpointSignal.NONE,
        Optional.of(
            new PeerRefusal(
                refusal.reason(),
                refusal.verdict(),
                !refusal.proof().equals(Optional.of(NotRunProof.NOTHING_SENT)),
                refusal.retryAfter())));
  }

  /** Returns a head with the given status that matches the request. */
  public static FakeResponseHead of(int status) {
    return of(status, EndpointSignal.NONE);
  }

  /** Returns such a head with the given rate limit. */
  public static FakeResponseHead of(int status, AdvertisedRateLimit limit) {
    return of(status, EndpointSignal.NONE.withLimit(limit));
  }

  /** Returns such a head with the given signals. */
  public static FakeResponseHead of(int status, EndpointSignal signal) {
    return new FakeResponseHead(status, false, true, Optional.empty(), signal);
  }

  /** Returns the head of a rejection, with the given backoff. */
  public static FakeResponseHead rejected(RequestedBackoff backoff) {
    return rejected(EndpointSignal.NONE.withBackoff(backoff));
  }

  /** Returns the head of a rejection, with the given signals. */
  public static FakeResponseHead rejected(EndpointSignal signal) {
    return new FakeResponseHead(503, true, true, Optional.empty(), signal);
  }
}
