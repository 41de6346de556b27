package org.vaneworks.tests.forwarding;

import java.util.Optional;
import org.vaneworks.coordination.forwarding.AnswerHead;
import org.vaneworks.state.AdvertisedRateLimit;
import org.vaneworks.state.EndpointSignal;
import org.vaneworks.state.HostPort;
import org.vaneworks.state.RequestedBackoff;

/** The head of an endpoint's answer, as a test wants it. */
public record Head(
    int status,
    boolean notRun,
    boolean matches,
    Optional<HostPort> obstacle,
    EndpointSignal statement)
    implements AnswerHead {
  /** Returns the head of an answer to the request that was sent. */
  public static Head of(int status) {
    return of(status, EndpointSignal.NONE);
  }

  /** The same of an endpoint that says how many requests a second it takes. */
  public static Head of(int status, AdvertisedRateLimit limit) {
    return of(status, EndpointSignal.NONE.withLimit(limit));
  }

  /** The same of an endpoint that says something of itself. */
  public static Head of(int status, EndpointSignal statement) {
    return new Head(status, false, true, Optional.empty(), statement);
  }

  /** Returns the head of an answer that turns a request away, and may ask for no more. */
  public static Head turnedAway(RequestedBackoff backoff) {
    return turnedAway(EndpointSignal.NONE.withBackoff(backoff));
  }

  /** The same of an endpoint that says more of itself. */
  public static Head turnedAway(EndpointSignal statement) {
    return new Head(503, true, true, Optional.empty(), statement);
  }
}
