package org.vaneworks.tests.forwarding;

import java.util.Optional;
import org.vaneworks.coordination.forwarding.ResponseHead;
import org.vaneworks.state.EndpointStatement;
import org.vaneworks.state.HostPort;
import org.vaneworks.state.StatedBackoff;
import org.vaneworks.state.StatedLimit;

/** A response head with values set by the test. */
public record FakeResponseHead(
    int status,
    boolean notRun,
    boolean matches,
    Optional<HostPort> obstacle,
    EndpointStatement statement)
    implements ResponseHead {
  /** Returns a head with the given status that matches the request. */
  public static FakeResponseHead of(int status) {
    return of(status, EndpointStatement.NONE);
  }

  /** Returns such a head with a stated rate limit. */
  public static FakeResponseHead of(int status, StatedLimit limit) {
    return of(status, EndpointStatement.NONE.withLimit(limit));
  }

  /** Returns such a head with the given statement. */
  public static FakeResponseHead of(int status, EndpointStatement statement) {
    return new FakeResponseHead(status, false, true, Optional.empty(), statement);
  }

  /** Returns the head of a rejection, with a stated backoff. */
  public static FakeResponseHead rejected(StatedBackoff backoff) {
    return rejected(EndpointStatement.NONE.withBackoff(backoff));
  }

  /** Returns the head of a rejection, with the given statement. */
  public static FakeResponseHead rejected(EndpointStatement statement) {
    return new FakeResponseHead(503, true, true, Optional.empty(), statement);
  }
}
