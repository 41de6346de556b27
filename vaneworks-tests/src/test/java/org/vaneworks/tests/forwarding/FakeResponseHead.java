package org.vaneworks.tests.forwarding;

import java.util.Optional;
import org.vaneworks.coordination.forwarding.ResponseHead;
import org.vaneworks.state.EndpointStatement;
import org.vaneworks.state.HostPort;
import org.vaneworks.state.StatedBackoff;
import org.vaneworks.state.StatedLimit;

/** The head of an endpoint's answer, as a test wants it. */
public record FakeResponseHead(
    int status,
    boolean notRun,
    boolean matches,
    Optional<HostPort> obstacle,
    EndpointStatement statement)
    implements ResponseHead {
  /** Returns the head of an answer to the request that was sent. */
  public static FakeResponseHead of(int status) {
    return of(status, EndpointStatement.NONE);
  }

  /** The same of an endpoint that says how many requests a second it takes. */
  public static FakeResponseHead of(int status, StatedLimit limit) {
    return of(status, EndpointStatement.NONE.withLimit(limit));
  }

  /** The same of an endpoint that says something of itself. */
  public static FakeResponseHead of(int status, EndpointStatement statement) {
    return new FakeResponseHead(status, false, true, Optional.empty(), statement);
  }

  /** Returns the head of an answer that turns a request away, and may ask for no more. */
  public static FakeResponseHead rejected(StatedBackoff backoff) {
    return rejected(EndpointStatement.NONE.withBackoff(backoff));
  }

  /** The same of an endpoint that says more of itself. */
  public static FakeResponseHead rejected(EndpointStatement statement) {
    return new FakeResponseHead(503, true, true, Optional.empty(), statement);
  }
}
