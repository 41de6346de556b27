package org.vaneworks.tests.forwarding;

import java.util.Optional;
import org.vaneworks.coordination.forwarding.AnswerHead;
import org.vaneworks.state.EndpointStatement;
import org.vaneworks.state.HostPort;
import org.vaneworks.state.StatedBackoff;
import org.vaneworks.state.StatedLimit;

/** The head of an endpoint's answer, as a test wants it. */
public record Head(
    int status,
    boolean notRun,
    boolean matches,
    Optional<HostPort> obstacle,
    EndpointStatement statement)
    implements AnswerHead {
  /** Returns the head of an answer to the request that was sent. */
  public static Head of(int status) {
    return of(status, EndpointStatement.NONE);
  }

  /** The same of an endpoint that says how many requests a second it takes. */
  public static Head of(int status, StatedLimit limit) {
    return of(status, EndpointStatement.NONE.withLimit(limit));
  }

  /** The same of an endpoint that says something of itself. */
  public static Head of(int status, EndpointStatement statement) {
    return new Head(status, false, true, Optional.empty(), statement);
  }

  /** Returns the head of an answer that turns a request away, and may ask for no more. */
  public static Head turnedAway(StatedBackoff backoff) {
    return turnedAway(EndpointStatement.NONE.withBackoff(backoff));
  }

  /** The same of an endpoint that says more of itself. */
  public static Head turnedAway(EndpointStatement statement) {
    return new Head(503, true, true, Optional.empty(), statement);
  }
}
